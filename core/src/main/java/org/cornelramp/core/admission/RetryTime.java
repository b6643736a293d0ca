package org.cornelramp.core.admission;

/** Limits of the time after which a refused client may retry. Stateless, safe for use by any thread. */
final class RetryTime {
    /** Earlier retries cost the gateways more than the little capacity that is free by then. */
    private static final long MIN_MILLIS = 200;

    /** Leaves the client time for at least one more retry, with the jitter of up to a half that is added later. */
    private static final long MAX_PART_OF_TIME_LEFT = 3;

    private RetryTime() {}

    /** Returns the retry time; the minimum has precedence when little time is left. */
    static long millis(long expectedWaitMillis, long timeLeftMillis) {
        return Math.max(MIN_MILLIS, Math.min(expectedWaitMillis, timeLeftMillis / MAX_PART_OF_TIME_LEFT));
    }
}
