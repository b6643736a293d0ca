package org.cornelramp.gateway.follow;

/**
 * Estimates by how much messages of one sender are late, from the steady clocks of both sides, which are not
 * synchronised. Confined to one thread at a time; the current time is passed in.
 *
 * <p>The difference of the clocks plus the shortest transit is the smallest difference between receipt and sending that
 * was seen recently; what a message exceeds it by, it has waited for on a link or in a receiver. A sender that was
 * suspended, whose clock then lags, looks late until the earlier differences are forgotten.
 */
final class TransitDelay {
    /** Differences are forgotten after one to two periods. */
    static final long PERIOD_MILLIS = 2_500;

    private long periodStartMillis;
    private long smallest = Long.MAX_VALUE;
    private long smallestBefore = Long.MAX_VALUE;

    /**
     * How late a message is, in milliseconds; 0 for the fastest one.
     *
     * @param sentMillis time of sending, on the sender's clock
     */
    long excessMillis(long sentMillis, long nowMillis) {
        if (nowMillis - periodStartMillis >= PERIOD_MILLIS) {
            periodStartMillis = nowMillis;
            smallestBefore = smallest;
            smallest = Long.MAX_VALUE;
        }
        long difference = nowMillis - sentMillis;
        smallest = Math.min(smallest, difference);
        return difference - Math.min(smallest, smallestBefore);
    }
}
