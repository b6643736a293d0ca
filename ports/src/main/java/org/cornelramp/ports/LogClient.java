package org.cornelramp.ports;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and appends to the platform's log service. Safe for use by any thread.
 *
 * <p>Futures fail with {@link PlatformException}; after {@link PlatformException.Kind#ANSWER_LOST} an append may
 * have taken effect, and only reading the stream shows whether it did.
 */
public interface LogClient {

    /** Appends records in order, all or none; returns the offset of the first. */
    CompletableFuture<Long> append(LogStream stream, List<JsonNode> records);

    /**
     * Reads records from an offset onwards; waits for one if there is none yet.
     *
     * @param max maximum number of records to return
     * @param waitMillis longest wait, in milliseconds
     */
    CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis);

    /** Returns the bounds of a stream as a page without records. */
    CompletableFuture<LogPage> bounds(LogStream stream);
}
