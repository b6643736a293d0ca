package org.cornelramp.daemon.operator;

import java.time.Duration;

/**
 * How long an edit waits for the log. Immutable, safe for use by any thread.
 *
 * @param append longest time over all tries of an append
 * @param answer longest time for one answer of the log
 * @param readBack longest time until the record is read back
 */
record EditLimits(Duration append, Duration answer, Duration readBack) {
    /** The limits in use; their sum stays below the time that the command line waits. */
    static final EditLimits DEFAULTS =
            new EditLimits(Duration.ofSeconds(8), Duration.ofSeconds(4), Duration.ofSeconds(4));
}
