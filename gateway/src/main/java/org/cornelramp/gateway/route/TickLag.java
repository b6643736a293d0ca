package org.cornelramp.gateway.route;

import java.util.concurrent.atomic.LongAccumulator;

/**
 * The longest delay of the router's ticks since it was last asked for. Safe for use by any thread; {@link #record} is
 * called by the router's thread.
 */
final class TickLag {
    private final LongAccumulator longest = new LongAccumulator(Math::max, 0);
    private volatile boolean started;
    private volatile long lastTickMillis;

    void record(long lagMillis, long nowMillis) {
        lastTickMillis = nowMillis;
        started = true;
        longest.accumulate(lagMillis);
    }

    /** The longest delay since the last call, with that of a tick that is overdue now. */
    long takeLongest(long nowMillis) {
        long overdue = started ? nowMillis - lastTickMillis - RequestRouter.TICK_MILLIS : 0;
        return Math.max(longest.getThenReset(), overdue);
    }
}
