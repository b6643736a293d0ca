package org.cornelramp.core.call;

import java.util.Optional;
import org.cornelramp.core.model.Problem;

/**
 * The final reply of an agent to a call: a result or a problem.
 *
 * <p>Invariant: exactly one of the two is present. Immutable, safe for use by any thread.
 */
public record AgentReply(Optional<CallResult> result, Optional<Problem> problem) {

    public AgentReply {
        if (result.isPresent() == problem.isPresent()) {
            throw new IllegalArgumentException("A reply must have either a result or a problem");
        }
    }

    /** A reply with the answer of the service. */
    public static AgentReply of(CallResult result) {
        return new AgentReply(Optional.of(result), Optional.empty());
    }

    /** A reply without an answer. */
    public static AgentReply of(Problem problem) {
        return new AgentReply(Optional.empty(), Optional.of(problem));
    }
}
