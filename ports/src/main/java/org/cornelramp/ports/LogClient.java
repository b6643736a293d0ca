package org.cornelramp.ports;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and appends to the platform's log service. Safe for use by any thread.
 *
 * <p>Futures fail with {@link PlatformException}; after {@link PlatformException.Kind#ANSWER_LOST} an append may
 * have taken effect, and only reading the stream tells.
 */
public interface LogClient {

    /** Appends records in order, all or none; gives the offset of the first. */
    CompletableFuture<Long> append(LogStream stream, List<JsonNode> records);

    /**
     * Reads records from an offset on; waits for one if there is none yet.
     *
     * @param max most records to give
     * @param waitMillis longest wait, in milliseconds
     */
    CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis);

    /** Gives the bounds of a stream as a page without records. */
    CompletableFuture<LogPage> bounds(LogStream stream);
}
