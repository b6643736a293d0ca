package org.cornelramp.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Retries of peers that lend to each other, with peer updates that are lost, duplicated, delayed and reordered. */
class ServiceRetryBudgetProperties {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;
    private static final double RESERVE_PER_PEER = 10;
    private static final long TICK_MILLIS = 20;

    /** One process; a restart loses its state and keeps its name. */
    private static final class Peer {
        private final String name;
        private ServiceRetryBudget budget;

        Peer(String name, Random random) {
            this.name = name;
            resetState(random);
        }

        void resetState(Random random) {
            budget = new ServiceRetryBudget(RATIO, WINDOW_MILLIS, random);
        }
    }

    /** A peer update in transit from one process to another. */
    private record PeerUpdate(
            String from, Optional<RetryLoanUpdate.LoanRequest> ask, List<RetryLoanUpdate.Loan> loans, int to) {}

    private final List<Peer> peers = new ArrayList<>();
    private final List<PeerUpdate> inTransit = new ArrayList<>();
    private final Deque<Long> retries = new ArrayDeque<>();
    private final Deque<Long> requests = new ArrayDeque<>();

    private void createPeers(int count, Random random) {
        peers.clear();
        inTransit.clear();
        retries.clear();
        requests.clear();
        for (int i = 0; i < count; i++) {
            peers.add(new Peer("p" + i, random));
        }
    }

    /**
     * One process after another needs most of the retries. No requests arrive, so only the reserve counts. Whatever
     * happens to the peer updates, no window of all peers together contains more retries than the reserve.
     */
    @Property(tries = 60, seed = "23")
    void allPeersTogetherStayWithinTheReserve(@ForAll long seed) {
        Random random = new Random(seed);
        createPeers(6, random);
        for (long now = 0; now < 40_000; now += TICK_MILLIS) {
            step(random, now, 0);
        }
    }

    /** The same with hundreds of peers and with requests that allow retries of their own. */
    @Property(tries = 4, seed = "29")
    void hundredsOfPeersStayWithinTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        createPeers(300, random);
        for (long now = 0; now < 30_000; now += TICK_MILLIS) {
            step(random, now, 12);
        }
    }

    private void step(Random random, long now, int mostRequests) {
        int borrowerIndex = (int) (now / 9_000) % peers.size();
        for (int i = random.nextInt(mostRequests + 1); i > 0; i--) {
            peers.get(random.nextInt(peers.size())).budget.recordRequest(now);
            requests.add(now);
        }
        for (int i = 0; i < 8; i++) {
            Peer sender = peers.get(random.nextInt(3) > 0 ? borrowerIndex : random.nextInt(peers.size()));
            boolean sent = sender.budget.tryRetry(RESERVE_PER_PEER, random.nextBoolean(), now);
            sender.budget.requestLoan(sent ? 0 : 1 + random.nextInt(8), now);
            if (sent) {
                retries.add(now);
            }
        }
        sendUpdates(random, now);
        deliver(random, now);
        check(now);
    }

    private void sendUpdates(Random random, long now) {
        for (int i = 0; i < 12; i++) {
            Peer from = peers.get(random.nextInt(peers.size()));
            PeerUpdate update = new PeerUpdate(
                    from.name, from.budget.loanRequest(), from.budget.loansToSend(now), random.nextInt(peers.size()));
            inTransit.add(update);
            if (random.nextInt(5) == 0) {
                inTransit.add(update);
            }
        }
    }

    /** Delivers updates in random order; one in four is lost, and some are delayed for long. */
    private void deliver(Random random, long now) {
        for (int i = 0; i < 12 && inTransit.size() > 20; i++) {
            PeerUpdate update = inTransit.remove(random.nextInt(inTransit.size()));
            Peer to = peers.get(update.to());
            if (random.nextInt(4) > 0 && !to.name.equals(update.from())) {
                update.ask().ifPresent(ask -> to.budget.lend(update.from(), ask, RESERVE_PER_PEER, now));
                update.loans().stream()
                        .filter(loan -> loan.borrower().equals(to.name))
                        .forEach(loan -> to.budget.acceptLoan(update.from(), loan, now));
            }
        }
    }

    /** The platform counts the requests of the current window or of the one before it, whichever has more. */
    private void check(long now) {
        while (!retries.isEmpty() && retries.peek() <= now - WINDOW_MILLIS) {
            retries.poll();
        }
        while (!requests.isEmpty() && requests.peek() <= now - 2 * WINDOW_MILLIS) {
            requests.poll();
        }
        long current = requests.stream().filter(at -> at > now - WINDOW_MILLIS).count();
        double bound = RATIO * Math.max(current, requests.size() - current) + RESERVE_PER_PEER * peers.size();
        if (retries.size() > bound) {
            throw new AssertionError(retries.size() + " retries within one window, allowed " + bound);
        }
    }

    /**
     * Guards against refusals by one process while the others have spare retries: an engine dies, and all its streams
     * belong to one process. Its own part of the reserve allows ten retries; with loans it sends more than three times
     * as many in the same window.
     */
    @Property(tries = 1)
    void aProcessUsesLoansOfItsPeers() {
        Random random = new Random(3);
        createPeers(6, random);
        int sent = 0;
        ServiceRetryBudget borrower = peers.get(0).budget;
        for (long now = 0; now < 2_000; now += TICK_MILLIS) {
            boolean allowed = borrower.tryRetry(RESERVE_PER_PEER, true, now);
            sent += allowed ? 1 : 0;
            borrower.requestLoan(allowed ? 0 : 8, now);
            for (Peer lender : peers.subList(1, peers.size())) {
                long at = now;
                borrower.loanRequest().ifPresent(ask -> lender.budget.lend("p0", ask, RESERVE_PER_PEER, at));
                lender.budget.loansToSend(now).forEach(loan -> borrower.acceptLoan(lender.name, loan, at));
            }
        }
        if (sent <= 3 * RESERVE_PER_PEER) {
            throw new AssertionError("only " + sent + " retries");
        }
    }

    /** A restarted process gets no loan that it requested before the restart. */
    @Property(tries = 20)
    void aLoanRequestedBeforeARestartIsNotUsed(@ForAll long seed) {
        Random random = new Random(seed);
        createPeers(2, random);
        peers.get(0).budget.requestLoan(4, 0);
        RetryLoanUpdate.LoanRequest ask = peers.get(0).budget.loanRequest().orElseThrow();
        peers.get(1).budget.lend("p0", ask, RESERVE_PER_PEER, 10);
        peers.get(0).resetState(random);
        peers.get(0).budget.requestLoan(4, 20);
        ServiceRetryBudget restarted = peers.get(0).budget;
        double before = restarted.remaining(RESERVE_PER_PEER, 30);
        peers.get(1).budget.loansToSend(30).forEach(loan -> restarted.acceptLoan("p1", loan, 30));
        if (restarted.remaining(RESERVE_PER_PEER, 30) != before) {
            throw new AssertionError("a loan requested before the restart is counted");
        }
    }

    /** A process requests a loan before it has used its last retry, and not while a quarter or more is left. */
    @Property(tries = 1)
    void aProcessRequestsLoansBeforeItHasNoRetryLeft() {
        ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, WINDOW_MILLIS, new Random(1));
        for (int used = 0; used < 8; used++) {
            if (budget.shortage(RESERVE_PER_PEER, 0) != 0) {
                throw new AssertionError("requests a loan with " + budget.remaining(RESERVE_PER_PEER, 0) + " left");
            }
            budget.tryRetry(RESERVE_PER_PEER, true, 0);
        }
        budget.tryRetry(RESERVE_PER_PEER, true, 0);
        if (budget.shortage(RESERVE_PER_PEER, 0) == 0 || !budget.hasRetry(RESERVE_PER_PEER, true, 0)) {
            throw new AssertionError("requests no loan with " + budget.remaining(RESERVE_PER_PEER, 0) + " left");
        }
    }

    /** After requests without an answer have used up their part, a begun answer still gets a retry. */
    @Property(tries = 1)
    void begunAnswersKeepAPartOfTheRetries() {
        ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, WINDOW_MILLIS, new Random(1));
        boolean sent = true;
        while (sent) {
            sent = budget.tryRetry(RESERVE_PER_PEER, false, 0);
        }
        if (!budget.tryRetry(RESERVE_PER_PEER, true, 0)) {
            throw new AssertionError("requests without an answer used all retries");
        }
    }
}
