package org.cornelramp.gateway.route;

/**
 * Limits the searches for a path that one pass over the waiting requests makes. A failed search ends the pass for less
 * urgent requests, since they leave capacity to more urgent ones. Confined to the router's thread.
 *
 * <p>Invariant: a request that only some engines can take does not end the pass for others, which may use other engines.
 */
final class SearchLimits {
    /**
     * Failed searches after which the pass tries only more urgent requests. The next request may need less memory, so a
     * single large one does not block the queue.
     */
    private static final int MAX_FAILED_SEARCHES = 3;

    /**
     * Least time between two searches for a request that only some engines can take, in milliseconds, after the pass has
     * made {@link #MAX_FAILED_SEARCHES} such searches. A search takes some tenths of a millisecond.
     */
    private static final long RESTRICTED_INTERVAL_MILLIS = 60;

    private int failed;
    private int failedRestricted;
    private int failedPriority = Integer.MAX_VALUE;

    /** Whether the pass may try a request of a priority. Those of starved priorities come first, so it may go up again. */
    boolean permit(int priority) {
        return priority < failedPriority || (priority == failedPriority && failed < MAX_FAILED_SEARCHES);
    }

    /** Least time since the last search for a request that only some engines can take, in milliseconds. */
    long restrictedIntervalMillis() {
        return failedRestricted < MAX_FAILED_SEARCHES ? 0 : RESTRICTED_INTERVAL_MILLIS;
    }

    /**
     * Records that a request was not sent.
     *
     * @param restricted whether only some engines can take it
     */
    void recordFailure(int priority, boolean restricted) {
        if (restricted) {
            failedRestricted++;
        } else {
            failed = priority == failedPriority ? failed + 1 : 1;
            failedPriority = priority;
        }
    }
}
