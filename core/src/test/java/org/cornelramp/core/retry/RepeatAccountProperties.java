package org.cornelramp.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Repeats of many peers that lend to each other, with news that are lost, doubled, late and out of order. */
class RepeatAccountProperties {
    private static final long WINDOW = 10_000;
    private static final double RATIO = 0.2;
    private static final double EVEN = 10;
    private static final long TICK = 20;

    /** One process as its peers see it; a restart forgets all that it knew. */
    private static final class Peer {
        private final String name;
        private ServiceRetryBudget account;

        Peer(String name, Random random) {
            this.name = name;
            start(random);
        }

        void start(Random random) {
            account = new ServiceRetryBudget(RATIO, WINDOW, random);
        }
    }

    /** News of one process on their way to another. */
    private record Letter(
            String from, Optional<RetryLoanUpdate.LoanRequest> ask, List<RetryLoanUpdate.Loan> loans, int to) {}

    private final List<Peer> peers = new ArrayList<>();
    private final List<Letter> underWay = new ArrayList<>();
    private final Deque<Long> repeats = new ArrayDeque<>();
    private final Deque<Long> requests = new ArrayDeque<>();

    private void begin(int count, Random random) {
        peers.clear();
        underWay.clear();
        repeats.clear();
        requests.clear();
        for (int i = 0; i < count; i++) {
            peers.add(new Peer("p" + i, random));
        }
    }

    /**
     * One process needs most of the repeats, then another one; some stand dead for a while and are replaced by others. No
     * request comes, so only the reserve counts; whatever happens to the news, no window of all peers together holds
     * more repeats than the reserve.
     */
    @Property(tries = 60, seed = "23")
    void theSumKeepsTheReserve(@ForAll long seed) {
        Random random = new Random(seed);
        begin(6, random);
        for (long now = 0; now < 40_000; now += TICK) {
            step(random, now, 0);
        }
    }

    /** The same with hundreds of peers and with requests that allow repeats of their own. */
    @Property(tries = 4, seed = "29")
    void theSumOfHundredsKeepsTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        begin(300, random);
        for (long now = 0; now < 30_000; now += TICK) {
            step(random, now, 12);
        }
    }

    private void step(Random random, long now, int mostRequests) {
        int needy = (int) (now / 9_000) % peers.size();
        for (int i = random.nextInt(mostRequests + 1); i > 0; i--) {
            peers.get(random.nextInt(peers.size())).account.recordRequest(now);
            requests.add(now);
        }
        for (int i = 0; i < 8; i++) {
            Peer who = peers.get(random.nextInt(3) > 0 ? needy : random.nextInt(peers.size()));
            boolean sent = who.account.tryRetry(EVEN, random.nextBoolean(), now);
            who.account.requestLoan(sent ? 0 : 1 + random.nextInt(8), now);
            if (sent) {
                repeats.add(now);
            }
        }
        post(random, now);
        deliver(random, now);
        check(now);
    }

    private void post(Random random, long now) {
        for (int i = 0; i < 12; i++) {
            Peer from = peers.get(random.nextInt(peers.size()));
            Letter letter = new Letter(
                    from.name, from.account.loanRequest(), from.account.loansToSend(now), random.nextInt(peers.size()));
            underWay.add(letter);
            if (random.nextInt(5) == 0) {
                underWay.add(letter);
            }
        }
    }

    /** Takes letters in any order; one in four is lost, and some wait for long. */
    private void deliver(Random random, long now) {
        for (int i = 0; i < 12 && underWay.size() > 20; i++) {
            Letter letter = underWay.remove(random.nextInt(underWay.size()));
            Peer to = peers.get(letter.to());
            if (random.nextInt(4) > 0 && !to.name.equals(letter.from())) {
                letter.ask().ifPresent(ask -> to.account.lend(letter.from(), ask, EVEN, now));
                letter.loans().stream()
                        .filter(loan -> loan.borrower().equals(to.name))
                        .forEach(loan -> to.account.acceptLoan(letter.from(), loan, now));
            }
        }
    }

    /** The platform counts the requests of the window itself, or of the one just before, whichever has more. */
    private void check(long now) {
        while (!repeats.isEmpty() && repeats.peek() <= now - WINDOW) {
            repeats.poll();
        }
        while (!requests.isEmpty() && requests.peek() <= now - 2 * WINDOW) {
            requests.poll();
        }
        long here = requests.stream().filter(at -> at > now - WINDOW).count();
        double bound = RATIO * Math.max(here, requests.size() - here) + EVEN * peers.size();
        if (repeats.size() > bound) {
            throw new AssertionError(repeats.size() + " repeats within one window, allowed " + bound);
        }
    }

    /**
     * An engine dies whose streams one process carries, and the others need no repeats. The process's even part is used up
     * after ten; with what the others lend it carries on more than three times as many in the same window.
     */
    @Property(tries = 1)
    void aProcessInNeedDrawsOnWhatOthersDoNotUse() {
        Random random = new Random(3);
        begin(6, random);
        int sent = 0;
        ServiceRetryBudget needy = peers.get(0).account;
        for (long now = 0; now < 2_000; now += TICK) {
            boolean taken = needy.tryRetry(EVEN, true, now);
            sent += taken ? 1 : 0;
            needy.requestLoan(taken ? 0 : 8, now);
            for (Peer other : peers.subList(1, peers.size())) {
                long at = now;
                needy.loanRequest().ifPresent(ask -> other.account.lend("p0", ask, EVEN, at));
                other.account.loansToSend(now).forEach(loan -> needy.acceptLoan(other.name, loan, at));
            }
        }
        if (sent <= 3 * EVEN) {
            throw new AssertionError("only " + sent + " repeats");
        }
    }

    /** A process that dies and comes back under its name gets nothing that its earlier life had asked for. */
    @Property(tries = 20)
    void aLoanToAnEarlierLifeIsNotUsed(@ForAll long seed) {
        Random random = new Random(seed);
        begin(2, random);
        peers.get(0).account.requestLoan(4, 0);
        RetryLoanUpdate.LoanRequest ask = peers.get(0).account.loanRequest().orElseThrow();
        peers.get(1).account.lend("p0", ask, EVEN, 10);
        peers.get(0).start(random);
        peers.get(0).account.requestLoan(4, 20);
        ServiceRetryBudget again = peers.get(0).account;
        double before = again.remaining(EVEN, 30);
        peers.get(1).account.loansToSend(30).forEach(loan -> again.acceptLoan("p1", loan, 30));
        if (again.remaining(EVEN, 30) != before) {
            throw new AssertionError("a loan to the life before is counted");
        }
    }

    /** A process asks before it has used its last repeat, and does not ask while a good part is left. */
    @Property(tries = 1)
    void aProcessAsksBeforeItLacksAny() {
        ServiceRetryBudget account = new ServiceRetryBudget(RATIO, WINDOW, new Random(1));
        for (int used = 0; used < 8; used++) {
            if (account.shortage(EVEN, 0) != 0) {
                throw new AssertionError("asks with " + account.remaining(EVEN, 0) + " left");
            }
            account.tryRetry(EVEN, true, 0);
        }
        account.tryRetry(EVEN, true, 0);
        if (account.shortage(EVEN, 0) == 0 || !account.hasRetry(EVEN, true, 0)) {
            throw new AssertionError("does not ask with " + account.remaining(EVEN, 0) + " left");
        }
    }

    /** Fresh requests use up what they may; a begun answer still finds a repeat. */
    @Property(tries = 1)
    void begunAnswersGoBeforeFreshRequests() {
        ServiceRetryBudget account = new ServiceRetryBudget(RATIO, WINDOW, new Random(1));
        boolean left = true;
        while (left) {
            left = account.tryRetry(EVEN, false, 0);
        }
        if (!account.tryRetry(EVEN, true, 0)) {
            throw new AssertionError("fresh requests took all repeats");
        }
    }
}
