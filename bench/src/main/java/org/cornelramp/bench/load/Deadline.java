package org.cornelramp.bench.load;

/**
 * The deadline of one request, counted from the time at which it was due. Immutable, safe for use by any thread.
 *
 * @param plannedNanos when the request was due
 * @param millis time allowed, in milliseconds
 */
record Deadline(long plannedNanos, long millis) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Callers wait past the deadline, to distinguish a late answer from none. */
    private static final long GRACE_MILLIS = 2_000;

    boolean isMet(long endNanos) {
        return endNanos - plannedNanos <= millis * NANOS_PER_MILLI;
    }

    /** Remaining time that the caller sends with the request, in milliseconds; at least 1. */
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
