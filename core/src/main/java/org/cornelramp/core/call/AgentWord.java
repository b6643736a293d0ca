package org.cornelramp.core.call;

import java.util.Optional;
import org.cornelramp.core.model.Problem;

/**
 * The final word of an agent on a call: a result or a problem.
 *
 * <p>Invariant: exactly one of the two is there. Immutable, safe for use by any thread.
 */
public record AgentWord(Optional<CallResult> result, Optional<Problem> problem) {

    public AgentWord {
        if (result.isPresent() == problem.isPresent()) {
            throw new IllegalArgumentException("An agent says either a result or a problem");
        }
    }

    /** The service answered. */
    public static AgentWord of(CallResult result) {
        return new AgentWord(Optional.of(result), Optional.empty());
    }

    /** There is no answer. */
    public static AgentWord of(Problem problem) {
        return new AgentWord(Optional.empty(), Optional.of(problem));
    }
}
