package org.cornelramp.core.retry;

import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Problem;

/**
 * A failed attempt at a request. Immutable, safe for use by any thread.
 *
 * @param problem why it failed
 * @param idempotent whether the request may run more than once
 * @param attempts attempts made for the request, this one included
 * @param crashes attempts that ended in a crash of the backend server, this one included
 * @param deadline time by which the answer must be complete
 * @param minimumDuration minimum duration of another attempt
 */
public record FailedAttempt(
        Problem problem, boolean idempotent, int attempts, int crashes, Instant deadline, Duration minimumDuration) {}
