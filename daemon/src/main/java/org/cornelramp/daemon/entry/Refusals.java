package org.cornelramp.daemon.entry;

import java.time.Duration;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/** Refusals that several classes of the entry use. */
final class Refusals {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private Refusals() {}

    static Problem overloaded(String detail) {
        return Problem.notRun(ProblemKind.OVERLOADED, detail).withRetryAfter(RETRY_AFTER);
    }

    static Problem leaving() {
        return Problem.notRun(ProblemKind.LEAVING, "This entry is stopping; another one serves the request.")
                .withRetryAfter(RETRY_AFTER);
    }

    static Problem notReady() {
        return Problem.notRun(ProblemKind.NOT_READY, "This entry does not know the table yet.")
                .withRetryAfter(RETRY_AFTER);
    }
}
