package org.cornelramp.core.retry;

import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * Whether a failed attempt may be made again. The caller of the rule also takes one from the {@link RetryBudget}
 * and adds the failed agent to those to avoid, so that no request meets the same fault twice. Stateless, safe for
 * use by any thread.
 */
public final class RetryRule {
    /** Most attempts at one request. */
    public static final int MAX_ATTEMPTS = 3;

    private RetryRule() {}

    /**
     * Returns whether another attempt is safe, may help and still fits the deadline.
     *
     * <p>An attempt of unknown outcome is repeated only if the request is idempotent: it may have taken effect, and
     * a second booking sends a second crew.
     */
    public static boolean mayRetry(Attempt failed, Instant now) {
        boolean safe = failed.problem().outcome() == Outcome.NOT_RUN || failed.idempotent();
        boolean inTime = now.plus(failed.expected()).isBefore(failed.deadline());
        return safe && helps(failed.problem().kind()) && inTime && failed.number() < MAX_ATTEMPTS;
    }

    /** Whether another backend server may do better. A refusal of the request itself stays one everywhere. */
    static boolean helps(ProblemKind kind) {
        return switch (kind) {
            case OVERLOADED, LEAVING, NOT_READY, BACKEND_FAILED, BACKEND_LOST, NO_BACKEND_SERVER -> true;
            default -> false;
        };
    }
}
