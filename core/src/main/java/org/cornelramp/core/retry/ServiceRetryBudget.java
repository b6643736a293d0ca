package org.cornelramp.core.retry;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The repeats that this process may send to one service: a share of its own requests and its part of the reserve of all
 * processes, less what it has lent to others, and what it has borrowed of them. Owned by one thread.
 */
public final class ServiceRetryBudget {
    /**
     * Part of what is allowed that requests may take which have not begun to be answered. The rest is for begun answers,
     * which nobody but this process can carry on; a fresh request is refused, and its client comes again.
     */
    private static final double FRESH_PART = 0.7;

    /** Part of what is allowed that a process keeps when it lends: for a server that dies the next moment. */
    private static final double KEPT_PART = 0.3;

    /** Part of what is allowed below which a process asks others for more before it lacks any. */
    private static final double LOW_PART = 0.25;

    private final RetryWindow window;
    private final RepeatLoans loansToSend;

    /**
     * @param ratio repeats for each request
     * @param windowMillis length of the window
     * @param ids makes the numbers of asks; they must differ from those of this process's earlier lives
     */
    public ServiceRetryBudget(double ratio, long windowMillis, RandomGenerator ids) {
        this.window = new RetryWindow(ratio, windowMillis);
        this.loansToSend = new RepeatLoans(windowMillis, ids);
    }

    /** Notes a client's request. */
    public void recordRequest(long nowMillis) {
        window.request(nowMillis);
    }

    /**
     * Takes one repeat; false if none is left now.
     *
     * @param even this process's part of the reserve
     * @param begun whether a part of the answer has been passed on
     */
    public boolean tryRetry(double even, boolean begun, long nowMillis) {
        return window.tryRepeat(even - loansToSend.booked(nowMillis), part(begun), nowMillis)
                || loansToSend.tryUse(nowMillis);
    }

    /** Whether {@link #tryRetry} would take one now. */
    public boolean hasRetry(double even, boolean begun, long nowMillis) {
        return window.hasRepeat(even - loansToSend.booked(nowMillis), part(begun), nowMillis)
                || loansToSend.left(nowMillis) > 0;
    }

    private static double part(boolean begun) {
        return begun ? 1 : FRESH_PART;
    }

    /** Repeats left now, for logs; negative if what was lent is needed here. */
    public double remaining(double even, long nowMillis) {
        return window.left(even - loansToSend.booked(nowMillis), nowMillis) + loansToSend.left(nowMillis);
    }

    /** Repeats that are missing to a comfortable rest, of which the next failures take theirs at once. */
    public int shortage(double even, long nowMillis) {
        double low = LOW_PART * window.allowed(even, nowMillis);
        return (int) Math.max(0, low - remaining(even, nowMillis));
    }

    /** Asks each peer for so many repeats, or for none. */
    public void requestLoan(int amount, long nowMillis) {
        loansToSend.ask(amount, nowMillis);
    }

    /** What this process asks for now. */
    public Optional<RetryLoanUpdate.LoanRequest> loanRequest() {
        return loansToSend.asks();
    }

    /** Lends what is not needed here to a process that lacks repeats; at most half, so that others find some too. */
    public void lend(String to, RetryLoanUpdate.LoanRequest theirs, double even, long nowMillis) {
        double allowed = window.allowed(even, nowMillis);
        double spare = window.left(even - loansToSend.booked(nowMillis), nowMillis) - KEPT_PART * allowed;
        loansToSend.lend(to, theirs, (int) (spare / 2), nowMillis);
    }

    /** The loans that are still to be told. */
    public List<RetryLoanUpdate.Loan> loansToSend(long nowMillis) {
        return loansToSend.toTell(nowMillis);
    }

    /** Takes a loan to this process that another one tells of. */
    public void acceptLoan(String from, RetryLoanUpdate.Loan loan, long nowMillis) {
        loansToSend.told(from, loan, nowMillis);
    }
}
