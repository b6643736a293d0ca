package org.cornelramp.core.retry;

import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Problem;

/**
 * A failed attempt at a request. Immutable, safe for use by any thread.
 *
 * @param problem how it failed
 * @param idempotent whether the request may run more than once
 * @param attempts attempts made, this one included
 * @param crashes attempts that ended in a crash of the backend server, this one included
 * @param deadline when the whole answer must be there
 * @param minimumDuration least time that another attempt takes
 */
public record FailedAttempt(
        Problem problem, boolean idempotent, int attempts, int crashes, Instant deadline, Duration minimumDuration) {}
