package org.cornelramp.wire.link;

/**
 * The waits between attempts to connect: doubled each time up to a cap, then drawn from the upper half of that, so
 * that all entries of a fleet do not knock at a restarted agent in the same instant. Immutable.
 *
 * @param baseMillis first wait
 * @param capMillis longest wait
 */
record Backoff(long baseMillis, long capMillis) {
    private static final int MAX_DOUBLINGS = 20;

    /**
     * The wait after an attempt that failed.
     *
     * @param failures attempts that failed in a row, from 1
     * @param random number in [0, 1)
     */
    long waitMillis(int failures, double random) {
        int doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
        long full = Math.min(capMillis, baseMillis << doublings);
        return full / 2 + (long) (random * (full - full / 2));
    }
}
