package org.cornelramp.core.model;

import java.time.Duration;
import java.util.Objects;

/**
 * The final answer to a request that was refused or given up on. Immutable, safe for use by any thread.
 *
 * @param kind the reason
 * @param outcome what is known about the effect of the request; never {@link Outcome#ANSWERED}
 * @param detail one sentence about this occurrence
 * @param retryAfter time after which to retry; zero if waiting does not help
 */
public record Problem(ProblemKind kind, Outcome outcome, String detail, Duration retryAfter) {

    public Problem {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(detail);
        if (outcome == Outcome.ANSWERED) {
            throw new IllegalArgumentException("The outcome of a problem must not be ANSWERED");
        }
        if (retryAfter.isNegative()) {
            throw new IllegalArgumentException("Retry-After must not be negative");
        }
    }

    /** Returns a refusal: the request did not run. */
    public static Problem notRun(ProblemKind kind, String detail) {
        return new Problem(kind, Outcome.NOT_RUN, detail, Duration.ZERO);
    }

    /** Returns a failure after which it is not known whether the request ran. */
    public static Problem unknown(ProblemKind kind, String detail) {
        return new Problem(kind, Outcome.UNKNOWN, detail, Duration.ZERO);
    }

    /** Returns this problem with a time after which to retry. */
    public Problem withRetryAfter(Duration wait) {
        return new Problem(kind, outcome, detail, wait);
    }
}
