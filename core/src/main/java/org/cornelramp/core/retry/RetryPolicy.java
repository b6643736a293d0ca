package org.cornelramp.core.retry;

import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * Whether a failed attempt may be made again. The caller of the rule also takes one from the {@link OrganisationRetryBudget}
 * and adds the failed agent to those to avoid, so that no request meets the same fault twice. Stateless, safe for
 * use by any thread.
 */
public final class RetryPolicy {
    /** Most attempts at one request. */
    public static final int MAX_ATTEMPTS = 3;

    /**
     * Crashes after which a request is not tried again. The reports that set a poison request aside are late, and
     * its own entry would send it to a third backend server before they arrive.
     */
    public static final int MAX_CRASHES = 2;

    private RetryPolicy() {}

    /**
     * Returns whether another attempt is safe, may help and still fits the deadline.
     *
     * <p>An attempt of unknown outcome is repeated only if the request is idempotent: it may have taken effect, and
     * a second booking sends a second crew.
     */
    public static boolean mayRetry(FailedAttempt failed, Instant now) {
        boolean safe = failed.problem().outcome() == Outcome.NOT_RUN || failed.idempotent();
        boolean inTime = now.plus(failed.minimumDuration()).isBefore(failed.deadline());
        return safe && helps(failed.problem().kind()) && inTime && attemptsLeft(failed);
    }

    private static boolean attemptsLeft(FailedAttempt failed) {
        return failed.attempts() < MAX_ATTEMPTS && failed.crashes() < MAX_CRASHES;
    }

    /** Whether another backend server may do better. A refusal of the request itself stays one everywhere. */
    static boolean helps(ProblemKind kind) {
        return switch (kind) {
            case OVERLOADED, LEAVING, NOT_READY, BACKEND_FAILED, BACKEND_LOST, NO_BACKEND_SERVER -> true;
            default -> false;
        };
    }
}
