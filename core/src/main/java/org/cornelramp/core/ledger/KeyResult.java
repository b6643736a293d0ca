package org.cornelramp.core.ledger;

import java.util.Optional;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * The final result of a key. Immutable if the array is not changed.
 *
 * @param outcome whether the call ran, as far as is known
 * @param kind why there is no answer; empty if there is one
 * @param detail one sentence on the problem; empty if there is none
 * @param retryAfterMillis milliseconds after which a retry may succeed; 0 if waiting does not help
 * @param status HTTP status of the answer; 0 if there is none
 * @param contentType media type of the answer
 * @param body the answer
 */
public record KeyResult(
        Outcome outcome,
        Optional<ProblemKind> kind,
        String detail,
        long retryAfterMillis,
        int status,
        String contentType,
        byte[] body) {
    private static final byte[] NONE = new byte[0];

    /** The result of a call that the backend server answered. */
    public static KeyResult answered(int status, String contentType, byte[] body) {
        return new KeyResult(Outcome.ANSWERED, Optional.empty(), "", 0, status, contentType, body);
    }

    /** The result of a call that did not run and never will. */
    public static KeyResult notRun(ProblemKind kind, String detail, long retryAfterMillis) {
        return new KeyResult(Outcome.NOT_RUN, Optional.of(kind), detail, retryAfterMillis, 0, "", NONE);
    }

    /** The result of a call that may have run. */
    public static KeyResult unknown(ProblemKind kind, String detail) {
        return new KeyResult(Outcome.UNKNOWN, Optional.of(kind), detail, 0, 0, "", NONE);
    }
}
