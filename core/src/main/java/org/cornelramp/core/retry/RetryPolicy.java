package org.cornelramp.core.retry;

import java.time.Instant;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * Decides whether a failed attempt may be retried. The caller also consumes a retry of the
 * {@link OrganisationRetryBudget} and excludes the failed agent, so that a request does not meet the same fault twice.
 * Stateless, safe for use by any thread.
 */
public final class RetryPolicy {
    /** Most attempts for one request. */
    public static final int MAX_ATTEMPTS = 3;

    /**
     * Crashes after which a request is not retried. The crash reports that identify a poison request arrive late, and
     * without this limit its entry would send it to a third backend server before they arrive.
     */
    public static final int MAX_CRASHES = 2;

    private RetryPolicy() {}

    /**
     * Returns whether another attempt is safe, may succeed and fits the deadline.
     *
     * <p>An attempt with an unknown outcome is retried only if the request is idempotent: it may have taken effect, and
     * for example a second booking sends a second crew.
     */
    public static boolean mayRetry(FailedAttempt failed, Instant now) {
        boolean safe = failed.problem().outcome() == Outcome.NOT_RUN || failed.idempotent();
        boolean inTime = now.plus(failed.minimumDuration()).isBefore(failed.deadline());
        return safe && isRetryable(failed.problem().kind()) && inTime && attemptsLeft(failed);
    }

    private static boolean attemptsLeft(FailedAttempt failed) {
        return failed.attempts() < MAX_ATTEMPTS && failed.crashes() < MAX_CRASHES;
    }

    /** Whether another backend server may succeed. A refusal of the request itself is the same on every server. */
    static boolean isRetryable(ProblemKind kind) {
        return switch (kind) {
            case OVERLOADED, LEAVING, NOT_READY, BACKEND_FAILED, BACKEND_LOST, NO_BACKEND_SERVER -> true;
            default -> false;
        };
    }
}
