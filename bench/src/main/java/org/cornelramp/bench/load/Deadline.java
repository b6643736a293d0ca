package org.cornelramp.bench.load;

/**
 * The time that one request has, counted from when it was due. Immutable, safe for use by any thread.
 *
 * @param plannedNanos when the request was due
 * @param millis time allowed
 */
record Deadline(long plannedNanos, long millis) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Callers wait a while past the deadline, to tell a late final word from none. */
    private static final long GRACE_MILLIS = 2_000;

    boolean isMet(long endNanos) {
        return endNanos - plannedNanos <= millis * NANOS_PER_MILLI;
    }

    /** What is left, as the caller tells it; at least one millisecond. */
    long leftMillis() {
        return Math.max(1, millis - (System.nanoTime() - plannedNanos) / NANOS_PER_MILLI);
    }

    boolean isPast() {
        return !isMet(System.nanoTime());
    }

    long timeoutMillis() {
        return leftMillis() + GRACE_MILLIS;
    }
}
