package org.cornelramp.daemon.entry;

import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.model.Problem;

/**
 * Receives the answer to one request. Safe for use by any thread; no method blocks.
 *
 * <p>Invariant: after {@link #complete}, {@link #fail} or {@link #endStream} all further calls are ignored.
 */
public interface CallerAnswer {

    /** Sends a complete answer. */
    void complete(int status, String contentType, byte[] body);

    /** Sends the complete answer of a plain service. */
    default void complete(CallResult result) {
        complete(result.status(), result.contentType(), result.body());
    }

    /** Ends the answer with a problem. In a stream it is the last event, so that a cut stream never looks complete. */
    void fail(Problem problem);

    /**
     * Sends an event of the stream. Returns false if the caller has disconnected or reads too slowly and the stream was
     * cut.
     */
    boolean sendEvent(byte[] data);

    /** Ends the stream as complete. */
    void endStream();
}
