package org.cornelramp.wire.link;

/**
 * Exponential backoff with jitter between connection attempts: the delay doubles up to a cap, and the actual delay is
 * drawn from its upper half, so that the entries of a fleet do not all reconnect to a restarted agent at the same time.
 * Immutable.
 *
 * @param baseMillis first delay
 * @param capMillis longest delay
 */
record Backoff(long baseMillis, long capMillis) {
    private static final int MAX_DOUBLINGS = 20;

    /**
     * The delay after a failed attempt.
     *
     * @param failures consecutive failed attempts, from 1
     * @param random number in [0, 1)
     */
    long delayMillis(int failures, double random) {
        int doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
        long full = Math.min(capMillis, baseMillis << doublings);
        return full / 2 + (long) (random * (full - full / 2));
    }
}
