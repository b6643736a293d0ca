package org.cornelramp.bench.gateway;

import java.util.Optional;
import org.cornelramp.platform.standin.StandInCaller;

/**
 * One request of a client and how it ended. Immutable, safe for use by any thread.
 *
 * @param id request id that the client chose
 * @param kind kind of the request
 * @param gateway number of the gateway that it was sent to
 * @param startMillis when it was sent
 * @param endMillis when its answer ended; {@link Long#MAX_VALUE} while it is open
 * @param disconnectMillis when the client closed its connection; {@link Long#MAX_VALUE} if it did not
 * @param answer what the client got; empty if the client disconnected first or has no answer yet
 */
record Call(
        String id,
        CallKind kind,
        int gateway,
        long startMillis,
        long endMillis,
        long disconnectMillis,
        Optional<StandInCaller.Answer> answer) {

    /** Whether the client disconnected before its answer was complete. */
    boolean hasDisconnected() {
        return disconnectMillis != Long.MAX_VALUE;
    }

    /** HTTP status of the answer; 0 without one. */
    int status() {
        return answer.map(StandInCaller.Answer::status).orElse(0);
    }

    /** Whether the answer ended regularly and was not cut. */
    boolean isComplete() {
        return answer.map(StandInCaller.Answer::complete).orElse(false);
    }
}
