package org.cornelramp.daemon.operator;

import java.time.Duration;

/**
 * Time limits of an edit that waits for the log. Immutable, safe for use by any thread.
 *
 * @param append longest total time for all attempts to append
 * @param answer longest wait for the answer to one append
 * @param readBack longest wait until the record is read back
 */
record EditLimits(Duration append, Duration answer, Duration readBack) {
    /** The limits in production; their sum must stay below the timeout of the command line. */
    static final EditLimits DEFAULTS =
            new EditLimits(Duration.ofSeconds(8), Duration.ofSeconds(4), Duration.ofSeconds(4));
}
