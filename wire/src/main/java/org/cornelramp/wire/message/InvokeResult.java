package org.cornelramp.wire.message;

import java.util.Optional;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * An agent's final result of one {@link Invoke}. Immutable, safe for use by any thread.
 *
 * @param call number of the call that this answers
 * @param outcome whether the call ran, as far as the agent knows
 * @param kind why there is no answer; empty if there is one
 * @param detail the problem in one sentence; empty if there is none
 * @param retryAfterMillis delay before a retry; 0 if waiting does not help
 * @param status HTTP status of the answer; 0 if there is none
 * @param contentType media type of the answer
 * @param body body of the answer
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
