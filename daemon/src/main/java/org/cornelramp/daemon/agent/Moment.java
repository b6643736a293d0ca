package org.cornelramp.daemon.agent;

import java.time.Instant;

/**
 * The present time, read once for each event. Immutable, safe for use by any thread.
 *
 * @param nanos monotone clock, for intervals and deadlines
 * @param instant wall clock, for the age of keys
 */
record Moment(long nanos, Instant instant) {
    private static final long MILLI = 1_000_000L;

    /** This moment's monotone time after a wait; a huge budget counts as one of a day. */
    long plusMillis(long millis) {
        return nanos + Math.min(millis, MAX_WAIT_MILLIS) * MILLI;
    }

    /** Milliseconds from this moment to a monotone time; negative if it has passed. */
    long millisTo(long otherNanos) {
        return (otherNanos - nanos) / MILLI;
    }

    private static final long MAX_WAIT_MILLIS = 86_400_000L;
}
