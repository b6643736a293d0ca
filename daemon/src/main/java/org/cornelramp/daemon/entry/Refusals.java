package org.cornelramp.daemon.entry;

import java.time.Duration;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/** Refusals that several parts of the entry give. */
final class Refusals {
    private static final Duration SOON = Duration.ofSeconds(1);

    private Refusals() {}

    static Problem overloaded(String detail) {
        return Problem.notRun(ProblemKind.OVERLOADED, detail).withRetryAfter(SOON);
    }

    static Problem leaving() {
        return Problem.notRun(ProblemKind.LEAVING, "This entry is stopping; another one serves the request.")
                .withRetryAfter(SOON);
    }

    static Problem notReady() {
        return Problem.notRun(ProblemKind.NOT_READY, "This entry does not know the table yet.")
                .withRetryAfter(SOON);
    }
}
