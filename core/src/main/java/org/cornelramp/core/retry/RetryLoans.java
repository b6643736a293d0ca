package org.cornelramp.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Retries for one service that this process has lent to other processes or borrowed from them.
 *
 * <p>Each process has the same part of the retries, so a process with a burst of failures would use up its part while
 * the others hardly use theirs, and its callers would be refused although the fleet could serve them. Such a process
 * sends a loan request to its peers, and those with spare retries lend some. A loan answers one request, once. The
 * lender counts it as used before announcing it, and until no window can contain its use by the borrower any more.
 * Peer updates may therefore be lost, delayed, duplicated or reordered, and processes may restart: a loan may be
 * wasted, but is never used twice or beyond the bound.
 *
 * <p>Invariant: every retry that a borrower uses is counted by the lender at that time and for one window after it.
 * The borrower's monotonic clock must not stop for longer than a peer update takes; a suspended process uses at most
 * one loan of each lender too late. Owned by one thread.
 */
final class RetryLoans {
    /** Time after a loan request in which its loans may be used, in milliseconds: eight rounds of peer updates. */
    static final long LOAN_VALID_MILLIS = 1_000;

    /** Time that a loan request stays open, in milliseconds: four rounds of peer updates. Then a new one may follow. */
    static final long REQUEST_OPEN_MILLIS = 500;

    private final long windowMillis;
    private final RandomGenerator ids;
    private final Deque<GivenLoan> loansGiven = new ArrayDeque<>();
    private final Map<String, Long> answeredRequests = new HashMap<>();
    private final Deque<TakenLoan> loansTaken = new ArrayDeque<>();
    private final Set<String> lenders = new HashSet<>();
    private RetryLoanUpdate.LoanRequest openRequest;
    private long requestedMillis;

    /** A loan to another process, as the lender stores it. Immutable. */
    private record GivenLoan(String borrower, long requestId, int amount, long lentMillis) {}

    /** The unused rest of a loan, as the borrower stores it. Immutable. */
    private record TakenLoan(int amount, long untilMillis) {}

    /**
     * @param windowMillis length of the window in which retries are bounded
     * @param ids source of the ids of loan requests, which must differ from those before a restart of this process
     */
    RetryLoans(long windowMillis, RandomGenerator ids) {
        this.windowMillis = windowMillis;
        this.ids = ids;
    }

    /** Requests a loan of {@code amount} retries from each peer; 0 withdraws the request. */
    void requestLoan(int amount, long nowMillis) {
        boolean isOpen = openRequest != null && nowMillis - requestedMillis < REQUEST_OPEN_MILLIS;
        if (amount <= 0) {
            openRequest = null;
        } else if (!isOpen) {
            openRequest = new RetryLoanUpdate.LoanRequest(ids.nextLong(), amount);
            requestedMillis = nowMillis;
            lenders.clear();
        }
    }

    /** Returns the open loan request, if any. */
    Optional<RetryLoanUpdate.LoanRequest> openRequest() {
        return Optional.ofNullable(openRequest);
    }

    /**
     * Lends the requested retries, or as many as are spare. A request is answered once.
     *
     * @param spare retries that this process does not need
     */
    void lend(String to, RetryLoanUpdate.LoanRequest request, int spare, long nowMillis) {
        int amount = Math.min(request.amount(), spare);
        if (amount > 0 && !Long.valueOf(request.id()).equals(answeredRequests.get(to))) {
            answeredRequests.put(to, request.id());
            loansGiven.add(new GivenLoan(to, request.id(), amount, nowMillis));
        }
    }

    /** Returns the loans that peer updates still have to carry: each for as long as it may be used. */
    List<RetryLoanUpdate.Loan> loansToSend(long nowMillis) {
        List<RetryLoanUpdate.Loan> loans = new ArrayList<>();
        for (GivenLoan loan : loansGiven) {
            if (nowMillis - loan.lentMillis() < LOAN_VALID_MILLIS) {
                loans.add(new RetryLoanUpdate.Loan(loan.borrower(), loan.requestId(), loan.amount()));
            }
        }
        return loans;
    }

    /** Returns the retries that are lent and count as used by this process. */
    int lentAmount(long nowMillis) {
        while (!loansGiven.isEmpty() && nowMillis - loansGiven.peek().lentMillis() > windowMillis + LOAN_VALID_MILLIS) {
            loansGiven.poll();
        }
        if (loansGiven.isEmpty()) {
            answeredRequests.clear();
        }
        return loansGiven.stream().mapToInt(GivenLoan::amount).sum();
    }

    /** Accepts a loan from a peer's update if it answers the open request; one loan of each lender. */
    void acceptLoan(String from, RetryLoanUpdate.Loan loan, long nowMillis) {
        long until = requestedMillis + LOAN_VALID_MILLIS;
        boolean answers = openRequest != null && openRequest.id() == loan.requestId() && nowMillis < until;
        if (answers && loan.amount() > 0 && lenders.add(from)) {
            loansTaken.add(new TakenLoan(loan.amount(), until));
        }
    }

    /** Returns the borrowed retries that may still be used. */
    int remaining(long nowMillis) {
        loansTaken.removeIf(loan -> nowMillis >= loan.untilMillis());
        return loansTaken.stream().mapToInt(TakenLoan::amount).sum();
    }

    /** Uses one borrowed retry; returns false if none is left. */
    boolean tryUse(long nowMillis) {
        if (remaining(nowMillis) == 0) {
            return false;
        }
        TakenLoan oldest = loansTaken.remove();
        if (oldest.amount() > 1) {
            loansTaken.addFirst(new TakenLoan(oldest.amount() - 1, oldest.untilMillis()));
        }
        return true;
    }
}
