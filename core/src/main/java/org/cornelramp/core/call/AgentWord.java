package org.cornelramp.core.call;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * The final word of an agent on a call: a result or a problem.
 *
 * <p>Invariant: exactly one of the two is there. Immutable, safe for use by any thread.
 */
public record AgentWord(Optional<CallResult> result, Optional<Problem> problem) {
    private static final Set<ProblemKind> ELSEWHERE_MAY_WORK = EnumSet.of(
            ProblemKind.OVERLOADED,
            ProblemKind.DEADLINE_UNREACHABLE,
            ProblemKind.LEAVING,
            ProblemKind.NO_BACKEND_SERVER,
            ProblemKind.BACKEND_FAILED,
            ProblemKind.BACKEND_LOST,
            ProblemKind.NOT_READY);

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

    /** Whether another backend server may do better with an idempotent call. */
    public boolean isWorthARetry() {
        return problem.isPresent() && ELSEWHERE_MAY_WORK.contains(problem.get().kind());
    }
}
