package org.cornelramp.wire.message;

import java.util.Optional;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * The final word of an agent on one {@link Invoke}. Immutable, safe for use by any thread.
 *
 * @param call number of the call that this answers
 * @param outcome what is known of the effect
 * @param kind why there is no answer; empty if there is one
 * @param detail one sentence on the problem; empty if there is none
 * @param retryAfterMillis when to come back; 0 if waiting does not help
 * @param status HTTP status of the answer; 0 if there is none
 * @param contentType media type of the answer
 * @param body the answer
 */
public record InvokeResult(
        long call,
        Outcome outcome,
        Optional<ProblemKind> kind,
        String detail,
        long retryAfterMillis,
        int status,
        String contentType,
        byte[] body)
        implements Message {}
