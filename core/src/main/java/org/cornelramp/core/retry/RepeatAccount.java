package org.cornelramp.core.retry;

import java.util.Map;
import java.util.function.Predicate;

/**
 * The repeats that this process may send to one service: a share of its own requests, and its part of the reserve of all
 * processes, of which it lends and borrows. Owned by one thread.
 */
public final class RepeatAccount {
    /**
     * Part of what is allowed that requests may take which have not begun to be answered. The rest is for begun answers,
     * which nobody but this process can carry on; a fresh request is refused, and its client comes again.
     */
    private static final double FRESH_PART = 0.7;

    /** Part of the even share that a process keeps for itself when it lends: for a server that dies the next moment. */
    private static final double KEPT_PART = 0.4;

    /** Most repeats asked for at a time: about those that a dying engine needs from one process. */
    private static final int MOST_WANTED = 8;

    /** How long a lack is told, in milliseconds; after that it is met or has passed. */
    private static final long WANT_MILLIS = 1_000;

    private final RetryWindow window;
    private final ReserveShare reserve = new ReserveShare();
    private int lacked;
    private long lackedSince = Long.MIN_VALUE / 2;

    /**
     * @param ratio repeats for each request
     * @param windowMillis length of the window
     */
    public RepeatAccount(double ratio, long windowMillis) {
        this.window = new RetryWindow(ratio, windowMillis);
    }

    /** Notes a client's request. */
    public void request(long nowMillis) {
        window.request(nowMillis);
    }

    /**
     * Takes one repeat; false if none is left now.
     *
     * @param even this process's part of the reserve if all had the same
     * @param begun whether a part of the answer has been passed on
     */
    public boolean tryRepeat(double even, boolean begun, long nowMillis) {
        boolean taken = window.tryRepeat(reserve.own(even), part(begun), nowMillis);
        if (!taken) {
            lacked = wanted(nowMillis) + 1;
            lackedSince = nowMillis;
        }
        return taken;
    }

    /** Whether {@link #tryRepeat} would take one now; that none is left is not told to others as a lack. */
    public boolean hasRepeat(double even, boolean begun, long nowMillis) {
        return window.hasRepeat(reserve.own(even), part(begun), nowMillis);
    }

    private static double part(boolean begun) {
        return begun ? 1 : FRESH_PART;
    }

    /** Repeats left now, for logs; negative if what was lent is already used. */
    public double left(double even, long nowMillis) {
        return window.left(reserve.own(even), nowMillis);
    }

    /** Repeats that were lacking lately. */
    public int wanted(long nowMillis) {
        return nowMillis - lackedSince > WANT_MILLIS ? 0 : Math.min(lacked, MOST_WANTED);
    }

    /** Lends what is not needed here to a process that lacks repeats; at most half, so that others find some too. */
    public void lend(String to, int wanted, double even, long nowMillis) {
        if (wanted(nowMillis) > 0) {
            return;
        }
        double own = reserve.own(even);
        double spare = Math.min(own, window.left(own, nowMillis)) - KEPT_PART * even;
        int amount = (int) Math.min(wanted, spare / 2);
        if (amount > 0) {
            reserve.lend(to, amount);
        }
    }

    /** What is lent to each process in all. */
    public Map<String, Integer> lent() {
        return reserve.lent();
    }

    /** Takes what a process says that it lends to this one in all. */
    public void borrowed(String from, int total) {
        reserve.told(from, total);
    }

    /** Gives back what was borrowed of processes that are not heard any more. */
    public void forgetLenders(Predicate<String> heard) {
        reserve.forgetLenders(heard);
    }
}
