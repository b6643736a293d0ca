package org.cornelramp.daemon.agent;

import java.time.Instant;

/**
 * The present time, read once for each event. Immutable, safe for use by any thread.
 *
 * @param nanos monotone clock, for intervals and deadlines
 * @param instant wall clock, for the age of keys
 */
record Moment(long nanos, Instant instant) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The monotone time that is this many milliseconds later; waits are capped at one day. */
    long plusMillis(long millis) {
        return nanos + Math.min(millis, MAX_WAIT_MILLIS) * NANOS_PER_MILLI;
    }

    /** Milliseconds from this moment to a monotone time; negative if it has passed. */
    long millisTo(long otherNanos) {
        return (otherNanos - nanos) / NANOS_PER_MILLI;
    }

    private static final long MAX_WAIT_MILLIS = 86_400_000L;
}
