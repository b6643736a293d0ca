package org.cornelramp.core.model;

import java.time.Duration;
import java.util.Objects;

/**
 * The final answer to a request that was refused or given up on. Immutable, safe for use by any thread.
 *
 * @param kind why
 * @param outcome what is known of the request's effect; never {@link Outcome#ANSWERED}
 * @param detail one sentence for this occurrence
 * @param retryAfter when to come back; zero when waiting does not help
 */
public record Problem(ProblemKind kind, Outcome outcome, String detail, Duration retryAfter) {

    public Problem {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(detail);
        if (outcome == Outcome.ANSWERED) {
            throw new IllegalArgumentException("A problem is not an answer");
        }
        if (retryAfter.isNegative()) {
            throw new IllegalArgumentException("Retry-After is not negative");
        }
    }

    /** A refusal: the request did not run. */
    public static Problem notRun(ProblemKind kind, String detail) {
        return new Problem(kind, Outcome.NOT_RUN, detail, Duration.ZERO);
    }

    /** A failure after which nobody knows whether the request ran. */
    public static Problem unknown(ProblemKind kind, String detail) {
        return new Problem(kind, Outcome.UNKNOWN, detail, Duration.ZERO);
    }

    /** This problem with a time to come back. */
    public Problem withRetryAfter(Duration wait) {
        return new Problem(kind, outcome, detail, wait);
    }
}
