package org.cornelramp.bench.gateway;

import java.util.Optional;
import org.cornelramp.platform.standin.StandInCaller;

/**
 * One request of a client and what came of it. Immutable, safe for use by any thread.
 *
 * @param id the client's id of the request
 * @param kind what was asked
 * @param gateway number of the gateway that was asked
 * @param startMillis when it was sent
 * @param endMillis when its answer ended; {@link Long#MAX_VALUE} while it is open
 * @param leftMillis when the client closed its connection; {@link Long#MAX_VALUE} if it did not
 * @param answer what the client got; empty if it left, or got nothing yet
 */
record Call(
        String id,
        CallKind kind,
        int gateway,
        long startMillis,
        long endMillis,
        long leftMillis,
        Optional<StandInCaller.Answer> answer) {

    /** Whether the client has left before its answer. */
    boolean hasLeft() {
        return leftMillis != Long.MAX_VALUE;
    }

    /** HTTP status of the answer; 0 without one. */
    int status() {
        return answer.map(StandInCaller.Answer::status).orElse(0);
    }

    /** Whether the answer ended as an answer should. */
    boolean isWhole() {
        return answer.map(StandInCaller.Answer::complete).orElse(false);
    }
}
