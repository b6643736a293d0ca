package org.cornelramp.daemon.report;

import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.table.RowKey;

/** Remembers what was decided on requests and how they ended, within bounds. Safe for use by any thread. */
public interface RequestRecorder {

    /**
     * Records one decision on a request.
     *
     * @param requestId the request
     * @param now the present time
     * @param step what was decided, in a word or two, such as {@code chosen}
     * @param facts where and why, as key=value facts
     */
    void decided(String requestId, Instant now, String step, String facts);

    /**
     * Records the end of a request.
     *
     * @param row organisation and service
     * @param outcome what the caller was told
     * @param inTime whether a whole answer went out before the deadline
     * @param latency time from arrival to the end of the answer
     * @param now the present time
     */
    void ended(RowKey row, Outcome outcome, boolean inTime, Duration latency, Instant now);
}
