package org.cornelramp.daemon.entry;

import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.model.Problem;

/**
 * Where the answer to one request goes. Safe for use by any thread; no method blocks.
 *
 * <p>Invariant: after {@link #whole}, {@link #problem} or {@link #endStream} all further calls are ignored.
 */
public interface CallerAnswer {

    /** Gives the whole answer. */
    void whole(int status, String contentType, byte[] body);

    /** Gives the whole answer of a plain service. */
    default void whole(CallResult result) {
        whole(result.status(), result.contentType(), result.body());
    }

    /** Gives the final problem; in a stream, as its last event, so that a cut stream never looks complete. */
    void problem(Problem problem);

    /** Adds an event to the stream; false when the caller is gone or too slow, and the stream was cut. */
    boolean event(byte[] data);

    /** Ends the stream as complete. */
    void endStream();
}
