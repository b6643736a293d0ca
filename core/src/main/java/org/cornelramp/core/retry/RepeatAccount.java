package org.cornelramp.core.retry;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The repeats that this process may send to one service: a share of its own requests and its part of the reserve of all
 * processes, less what it has lent to others, and what it has borrowed of them. Owned by one thread.
 */
public final class RepeatAccount {
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
    private final RepeatLoans loans;

    /**
     * @param ratio repeats for each request
     * @param windowMillis length of the window
     * @param ids makes the numbers of asks; they must differ from those of this process's earlier lives
     */
    public RepeatAccount(double ratio, long windowMillis, RandomGenerator ids) {
        this.window = new RetryWindow(ratio, windowMillis);
        this.loans = new RepeatLoans(windowMillis, ids);
    }

    /** Notes a client's request. */
    public void request(long nowMillis) {
        window.request(nowMillis);
    }

    /**
     * Takes one repeat; false if none is left now.
     *
     * @param even this process's part of the reserve
     * @param begun whether a part of the answer has been passed on
     */
    public boolean tryRepeat(double even, boolean begun, long nowMillis) {
        return window.tryRepeat(even - loans.booked(nowMillis), part(begun), nowMillis) || loans.tryUse(nowMillis);
    }

    /** Whether {@link #tryRepeat} would take one now. */
    public boolean hasRepeat(double even, boolean begun, long nowMillis) {
        return window.hasRepeat(even - loans.booked(nowMillis), part(begun), nowMillis) || loans.left(nowMillis) > 0;
    }

    private static double part(boolean begun) {
        return begun ? 1 : FRESH_PART;
    }

    /** Repeats left now, for logs; negative if what was lent is needed here. */
    public double left(double even, long nowMillis) {
        return window.left(even - loans.booked(nowMillis), nowMillis) + loans.left(nowMillis);
    }

    /** Repeats that are missing to a comfortable rest, of which the next failures take theirs at once. */
    public int shortage(double even, long nowMillis) {
        double low = LOW_PART * window.allowed(even, nowMillis);
        return (int) Math.max(0, low - left(even, nowMillis));
    }

    /** Asks each peer for so many repeats, or for none. */
    public void ask(int amount, long nowMillis) {
        loans.ask(amount, nowMillis);
    }

    /** What this process asks for now. */
    public Optional<RepeatNews.Ask> asks() {
        return loans.asks();
    }

    /** Lends what is not needed here to a process that lacks repeats; at most half, so that others find some too. */
    public void lend(String to, RepeatNews.Ask theirs, double even, long nowMillis) {
        double allowed = window.allowed(even, nowMillis);
        double spare = window.left(even - loans.booked(nowMillis), nowMillis) - KEPT_PART * allowed;
        loans.lend(to, theirs, (int) (spare / 2), nowMillis);
    }

    /** The loans that are still to be told. */
    public List<RepeatNews.Loan> loans(long nowMillis) {
        return loans.toTell(nowMillis);
    }

    /** Takes a loan to this process that another one tells of. */
    public void borrow(String from, RepeatNews.Loan loan, long nowMillis) {
        loans.told(from, loan, nowMillis);
    }
}
