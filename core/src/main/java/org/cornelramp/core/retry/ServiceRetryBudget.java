package org.cornelramp.core.retry;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Retry budget of this process for one service: a share of its own requests plus its part of the reserve of all
 * processes, minus the retries lent to other processes, plus those borrowed from them. Owned by one thread.
 */
public final class ServiceRetryBudget {
    /**
     * Part of the allowed retries that requests may use whose answer has not begun. The rest is kept for answers that
     * have begun, as only this process can continue them; a request without an answer can be refused, and its client
     * sends it again.
     */
    private static final double NOT_BEGUN_PART = 0.7;

    /** Part of the allowed retries that a process does not lend, for a server that dies right after the loan. */
    private static final double NOT_LENT_PART = 0.3;

    /** Part of the allowed retries below which a process requests loans, so that it does so before it has none left. */
    private static final double LOW_WATER_PART = 0.25;

    private final RetryWindow window;
    private final RetryLoans retryLoans;

    /**
     * @param ratio retries for each request
     * @param windowMillis length of the sliding window
     * @param ids source of the ids of loan requests, which must differ from those before a restart of this process
     */
    public ServiceRetryBudget(double ratio, long windowMillis, RandomGenerator ids) {
        this.window = new RetryWindow(ratio, windowMillis);
        this.retryLoans = new RetryLoans(windowMillis, ids);
    }

    /** Records a client's request. */
    public void recordRequest(long nowMillis) {
        window.recordRequest(nowMillis);
    }

    /**
     * Consumes one retry; returns false if none is left now.
     *
     * @param reserve this process's part of the reserve of all processes
     * @param begun whether a part of the answer has been sent to the client
     */
    public boolean tryRetry(double reserve, boolean begun, long nowMillis) {
        return window.tryRetry(reserve - retryLoans.lentAmount(nowMillis), usablePart(begun), nowMillis)
                || retryLoans.tryUse(nowMillis);
    }

    /** Whether {@link #tryRetry} would succeed now. */
    public boolean hasRetry(double reserve, boolean begun, long nowMillis) {
        return window.hasRetry(reserve - retryLoans.lentAmount(nowMillis), usablePart(begun), nowMillis)
                || retryLoans.remaining(nowMillis) > 0;
    }

    private static double usablePart(boolean begun) {
        return begun ? 1 : NOT_BEGUN_PART;
    }

    /** Returns the retries left now, for logs; negative if retries that were lent are missing here. */
    public double remaining(double reserve, long nowMillis) {
        return window.remaining(reserve - retryLoans.lentAmount(nowMillis), nowMillis)
                + retryLoans.remaining(nowMillis);
    }

    /** Returns the retries missing to the low-water mark, with which the next failures can be retried at once. */
    public int shortage(double reserve, long nowMillis) {
        double low = LOW_WATER_PART * window.allowed(reserve, nowMillis);
        return (int) Math.max(0, low - remaining(reserve, nowMillis));
    }

    /** Requests a loan of {@code amount} retries from each peer; 0 withdraws the request. */
    public void requestLoan(int amount, long nowMillis) {
        retryLoans.requestLoan(amount, nowMillis);
    }

    /** Returns the open loan request, if any. */
    public Optional<RetryLoanUpdate.LoanRequest> loanRequest() {
        return retryLoans.openRequest();
    }

    /** Lends spare retries on a peer's request; at most half of them, so that some are left for other peers. */
    public void lend(String to, RetryLoanUpdate.LoanRequest request, double reserve, long nowMillis) {
        double allowed = window.allowed(reserve, nowMillis);
        double spare =
                window.remaining(reserve - retryLoans.lentAmount(nowMillis), nowMillis) - NOT_LENT_PART * allowed;
        retryLoans.lend(to, request, (int) (spare / 2), nowMillis);
    }

    /** Returns the loans that peer updates still have to carry. */
    public List<RetryLoanUpdate.Loan> loansToSend(long nowMillis) {
        return retryLoans.loansToSend(nowMillis);
    }

    /** Accepts a loan to this process from a peer's update. */
    public void acceptLoan(String from, RetryLoanUpdate.Loan loan, long nowMillis) {
        retryLoans.acceptLoan(from, loan, nowMillis);
    }
}
