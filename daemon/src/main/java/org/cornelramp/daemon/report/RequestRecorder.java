package org.cornelramp.daemon.report;

import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.table.RowKey;

/** Records the decisions on requests and their ends, in bounded memory. Safe for use by any thread. */
public interface RequestRecorder {

    /**
     * Records one decision on a request.
     *
     * @param requestId the request
     * @param now the present time
     * @param step the decision, in one or two words, such as {@code chosen}
     * @param facts the place and the reason, as key=value facts
     */
    void decided(String requestId, Instant now, String step, String facts);

    /**
     * Records the end of a request.
     *
     * @param row organisation and service
     * @param outcome the outcome that the caller received
     * @param inTime whether the complete answer was sent before the deadline
     * @param latency time from arrival to the end of the answer
     * @param now the present time
     */
    void ended(RowKey row, Outcome outcome, boolean inTime, Duration latency, Instant now);
}
