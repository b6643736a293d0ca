package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.retry.ServiceRetryBudget;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.peer.PeerRotation;

/**
 * The retry budget of this process for each service, including what its peers have lent. Confined to the router's
 * thread.
 */
final class SharedRetries {
    /**
     * Share of the common reserve that is divided among all known processes; the rest is left for processes that have
     * just started.
     */
    private static final double RESERVE_SHARE = 0.8;

    /** Least number of processes among which the reserve is divided, as peers may not be known yet. */
    private static final int MIN_PROCESSES = 4;

    /**
     * Most retries requested from one peer at a time: about as many as the streams of a dying engine need in one
     * process.
     */
    private static final int MAX_REQUESTED = 8;

    private final String name;
    private final GatewaySettings.Retries bounds;
    private final RandomGenerator ids;
    private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();
    private int peers;
    private int maxPeers;
    private long maxPeersMillis;

    /**
     * @param name name of this process, to which peers address their loans
     * @param ids generates numbers that no earlier run of this process has used
     */
    SharedRetries(String name, GatewaySettings.Retries bounds, RandomGenerator ids) {
        this.name = name;
        this.bounds = bounds;
        this.ids = ids;
    }

    /**
     * Sets the number of peers whose updates are received. A peer that falls silent keeps its part of the reserve for a
     * whole window: its past retries count for that long, and it may merely be unreachable from here.
     */
    void setPeers(int count, long nowMillis) {
        peers = count;
        if (count >= maxPeers || nowMillis - maxPeersMillis > bounds.windowMillis()) {
            maxPeers = count;
            maxPeersMillis = nowMillis;
        }
    }

    /** Number of peers whose updates are received. */
    int peers() {
        return peers;
    }

    private double reservePerProcess() {
        return bounds.reserve() * RESERVE_SHARE / Math.max(MIN_PROCESSES, maxPeers + 1);
    }

    /** Counts a client's request. */
    void countRequest(ServiceName service, long nowMillis) {
        budgetOf(service).recordRequest(nowMillis);
    }

    /** Consumes one retry, for a started answer or a request that has not started; false if none is left now. */
    boolean tryConsume(ServiceName service, boolean started, long nowMillis) {
        return budgetOf(service).tryRetry(reservePerProcess(), started, nowMillis);
    }

    /** Whether {@link #tryConsume} would succeed now. */
    boolean isAvailable(ServiceName service, boolean started, long nowMillis) {
        return budgetOf(service).hasRetry(reservePerProcess(), started, nowMillis);
    }

    /** Retries left now, rounded down. */
    long remaining(ServiceName service, long nowMillis) {
        return (long) Math.floor(budgetOf(service).remaining(reservePerProcess(), nowMillis));
    }

    /**
     * Requests loans from the peers for the requests that wait for a retry now, and for some more where few retries are
     * left: loans arrive 100 to 200 ms after they are requested, and a stream that has lost its engine is late by then.
     */
    void requestLoans(Map<ServiceName, Integer> lacking, long nowMillis) {
        int peersAsked = Math.max(1, Math.min(peers, PeerRotation.MAX_PEERS_PER_ROUND));
        lacking.keySet().forEach(this::budgetOf);
        budgets.forEach((service, budget) -> {
            int wanted = lacking.getOrDefault(service, 0) + budget.shortage(reservePerProcess(), nowMillis);
            int each = (wanted + peersAsked - 1) / peersAsked;
            budget.requestLoan(Math.min(MAX_REQUESTED, each), nowMillis);
        });
    }

    /** The loans and the requests for loans to send to the peers. */
    RetryLoanUpdate loanUpdate(long nowMillis) {
        Map<ServiceName, RetryLoanUpdate.LoanRequest> loanRequests = new HashMap<>();
        Map<ServiceName, List<RetryLoanUpdate.Loan>> loans = new HashMap<>();
        budgets.forEach((service, budget) -> {
            budget.loanRequest().ifPresent(request -> loanRequests.put(service, request));
            List<RetryLoanUpdate.Loan> lent = budget.loansToSend(nowMillis);
            if (!lent.isEmpty()) {
                loans.put(service, lent);
            }
        });
        return new RetryLoanUpdate(loanRequests, loans);
    }

    /** Applies a peer's update: its loans to this process, and its requests for loans. */
    void applyPeerUpdate(String peer, RetryLoanUpdate update, long nowMillis) {
        update.loans().forEach((service, loans) -> loans.stream()
                .filter(loan -> loan.borrower().equals(name))
                .forEach(loan -> budgetOf(service).acceptLoan(peer, loan, nowMillis)));
        update.loanRequests()
                .forEach((service, request) -> budgetOf(service).lend(peer, request, reservePerProcess(), nowMillis));
    }

    private ServiceRetryBudget budgetOf(ServiceName service) {
        return budgets.computeIfAbsent(
                service, any -> new ServiceRetryBudget(bounds.ratio(), bounds.windowMillis(), ids));
    }
}
