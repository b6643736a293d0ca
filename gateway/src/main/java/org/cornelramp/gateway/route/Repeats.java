package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.ServiceRetryBudget;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.peer.PeerTurns;

/** The repeats that this process may still send to each service, its peers' loans included. Owned by the router's duty. */
final class Repeats {
    /** Share of the common reserve that all processes take together; the rest is for those that just start. */
    private static final double RESERVE_SHARE = 0.8;

    /** Processes that share the reserve while peers are not known. */
    private static final int PROCESSES_GUESSED = 4;

    /** Most repeats asked of one peer at a time: about what a dying engine's streams need of one process. */
    private static final int MOST_ASKED = 8;

    private final String name;
    private final GatewaySettings.Retries bounds;
    private final RandomGenerator ids;
    private final Map<ServiceName, ServiceRetryBudget> accounts = new HashMap<>();
    private int peers;
    private int mostPeers;
    private long mostPeersMillis;

    /**
     * @param name name of this process, by which peers lend to it
     * @param ids makes numbers that no earlier life of this process has made
     */
    Repeats(String name, GatewaySettings.Retries bounds, RandomGenerator ids) {
        this.name = name;
        this.bounds = bounds;
        this.ids = ids;
    }

    /**
     * Sets how many peers are heard. A peer that falls silent keeps its part of the reserve for a whole window: what it has
     * repeated counts for so long, and it may only be cut off from here.
     */
    void setPeers(int heard, long nowMillis) {
        peers = heard;
        if (heard >= mostPeers || nowMillis - mostPeersMillis > bounds.windowMillis()) {
            mostPeers = heard;
            mostPeersMillis = nowMillis;
        }
    }

    /** Peers that are heard. */
    int peers() {
        return peers;
    }

    private double even() {
        return bounds.reserve() * RESERVE_SHARE / Math.max(PROCESSES_GUESSED, mostPeers + 1);
    }

    /** Notes a client's request. */
    void request(ServiceName service, long nowMillis) {
        account(service).recordRequest(nowMillis);
    }

    /** Takes one repeat, for a begun answer or a fresh request; false if none is left now. */
    boolean tryRepeat(ServiceName service, boolean begun, long nowMillis) {
        return account(service).tryRetry(even(), begun, nowMillis);
    }

    /** Whether {@link #tryRepeat} would take one now. */
    boolean hasRepeat(ServiceName service, boolean begun, long nowMillis) {
        return account(service).hasRetry(even(), begun, nowMillis);
    }

    /** Repeats left now, rounded down. */
    long left(ServiceName service, long nowMillis) {
        return (long) Math.floor(account(service).remaining(even(), nowMillis));
    }

    /**
     * Asks the peers for what the requests lack that wait for a repeat now, and for some more where few are left. Loans come
     * a tenth of a second or two after they are asked for, and a stream that has lost its engine is late by then.
     */
    void ask(Map<ServiceName, Integer> lacking, long nowMillis) {
        int asked = Math.max(1, Math.min(peers, PeerTurns.MOST_A_ROUND));
        lacking.keySet().forEach(this::account);
        accounts.forEach((service, account) -> {
            int wanted = lacking.getOrDefault(service, 0) + account.shortage(even(), nowMillis);
            int each = (wanted + asked - 1) / asked;
            account.requestLoan(Math.min(MOST_ASKED, each), nowMillis);
        });
    }

    /** What to tell the peers. */
    RetryLoanUpdate news(long nowMillis) {
        Map<ServiceName, RetryLoanUpdate.LoanRequest> asks = new HashMap<>();
        Map<ServiceName, List<RetryLoanUpdate.Loan>> loans = new HashMap<>();
        accounts.forEach((service, account) -> {
            account.loanRequest().ifPresent(ask -> asks.put(service, ask));
            List<RetryLoanUpdate.Loan> lent = account.loansToSend(nowMillis);
            if (!lent.isEmpty()) {
                loans.put(service, lent);
            }
        });
        return new RetryLoanUpdate(asks, loans);
    }

    /** Takes a peer's news: what it lends to this process, and what it lacks. */
    void told(String peer, RetryLoanUpdate theirs, long nowMillis) {
        theirs.loans().forEach((service, loans) -> loans.stream()
                .filter(loan -> loan.borrower().equals(name))
                .forEach(loan -> account(service).acceptLoan(peer, loan, nowMillis)));
        theirs.loanRequests().forEach((service, ask) -> account(service).lend(peer, ask, even(), nowMillis));
    }

    private ServiceRetryBudget account(ServiceName service) {
        return accounts.computeIfAbsent(service, any -> new ServiceRetryBudget(bounds.ratio(), bounds.windowMillis(), ids));
    }
}
