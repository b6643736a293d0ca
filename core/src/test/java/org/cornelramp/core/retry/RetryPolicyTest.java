package org.cornelramp.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Set;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.testng.annotations.Test;

/** A retry must be safe, may succeed and must fit the deadline. */
public class RetryPolicyTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    @Test
    public void anUnknownOutcomeIsRetriedOnlyIfIdempotent() {
        Problem lost = Problem.unknown(ProblemKind.BACKEND_LOST, "gone");
        assertFalse(RetryPolicy.mayRetry(attempt(lost, false, 1), NOW));
        assertTrue(RetryPolicy.mayRetry(attempt(lost, true, 1), NOW));
    }

    @Test
    public void aRequestThatDidNotRunIsRetriedWithinAttemptsAndDeadline() {
        Problem full = Problem.notRun(ProblemKind.OVERLOADED, "full");
        assertTrue(RetryPolicy.mayRetry(attempt(full, false, 2), NOW));
        assertFalse(RetryPolicy.mayRetry(attempt(full, false, RetryPolicy.MAX_ATTEMPTS), NOW));
        assertFalse(RetryPolicy.mayRetry(attempt(full, false, 1), NOW.plusSeconds(9)));
    }

    @Test
    public void isNotRetriedAfterTheSecondCrash() {
        Problem lost = Problem.unknown(ProblemKind.BACKEND_LOST, "crashed");
        assertTrue(RetryPolicy.mayRetry(new FailedAttempt(lost, true, 1, 1, NOW.plusSeconds(2), Duration.ZERO), NOW));
        assertFalse(RetryPolicy.mayRetry(new FailedAttempt(lost, true, 2, 2, NOW.plusSeconds(2), Duration.ZERO), NOW));
    }

    @Test
    public void refusalsOfTheRequestItselfAreNotRetried() {
        Set<ProblemKind> retried = EnumSet.noneOf(ProblemKind.class);
        for (ProblemKind kind : ProblemKind.values()) {
            if (RetryPolicy.mayRetry(attempt(Problem.notRun(kind, "why"), true, 1), NOW)) {
                retried.add(kind);
            }
        }
        assertEquals(
                retried,
                EnumSet.of(
                        ProblemKind.OVERLOADED,
                        ProblemKind.NO_BACKEND_SERVER,
                        ProblemKind.NOT_READY,
                        ProblemKind.LEAVING,
                        ProblemKind.BACKEND_FAILED,
                        ProblemKind.BACKEND_LOST));
    }

    private static FailedAttempt attempt(Problem problem, boolean idempotent, int number) {
        return new FailedAttempt(problem, idempotent, number, 0, NOW.plusSeconds(2), Duration.ofMillis(100));
    }
}
