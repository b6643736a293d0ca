package org.cornelramp.core.table;

import java.util.List;

/**
 * The columns of one row that operators edit. Immutable, safe for use by any thread.
 *
 * @param weight share under contention against other organisations, 1 to 1,000,000
 * @param priority order within the organisation, 0 (first) to 9 (last)
 * @param requestsPerSecond limit of requests per second over all entries together; 0 means no limit
 * @param concurrency limit of requests in progress over all entries together; 0 means no limit
 * @param tokensPerSecond limit of generated tokens per second over all entries together; 0 means no limit
 * @param deadlineMillis deadline for requests that state none, in milliseconds, 1 to 600,000
 * @param objectivePercent share of requests that should be answered in time, above 0 and below 100
 * @param callerKeyHashes SHA-256 hashes, in lower-case hexadecimal, of the keys that callers may use
 */
public record RowValues(
        int weight,
        int priority,
        double requestsPerSecond,
        int concurrency,
        double tokensPerSecond,
        long deadlineMillis,
        double objectivePercent,
        List<String> callerKeyHashes) {

    public RowValues {
        callerKeyHashes = List.copyOf(callerKeyHashes);
    }
}
