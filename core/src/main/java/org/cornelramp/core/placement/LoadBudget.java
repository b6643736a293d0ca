package org.cornelramp.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the additional loads in any minute. Owned by one thread.
 *
 * <p>Invariant: at most {@link #LOADS} loads are recorded within {@link #WINDOW_MILLIS}, provided that the caller
 * records one only while {@link #available} is positive.
 */
public final class LoadBudget {
    /** Additional loads in a minute: an engine that loads serves nothing meanwhile. */
    public static final int LOADS = 6;

    static final long WINDOW_MILLIS = 60_000;

    private final Deque<Long> loadsMillis = new ArrayDeque<>();

    /** Assumes that the budget has just been used up, since the loads of the last minute are not known. */
    public void assumeUsed(long nowMillis) {
        loadsMillis.clear();
        for (int load = 0; load < LOADS; load++) {
            loadsMillis.addLast(nowMillis);
        }
    }

    /** Returns how many additional loads may be ordered now. */
    public int available(long nowMillis) {
        while (!loadsMillis.isEmpty() && nowMillis - loadsMillis.peekFirst() >= WINDOW_MILLIS) {
            loadsMillis.removeFirst();
        }
        return Math.max(0, LOADS - loadsMillis.size());
    }

    /** Records an additional load. */
    public void record(long nowMillis) {
        loadsMillis.addLast(nowMillis);
    }
}
