package org.cornelramp.core.settings;

/**
 * Format of the process's log lines. Immutable, safe for use by any thread.
 *
 * @param json whether each line is a JSON object
 * @param debug whether debug lines are written
 */
public record LogSettings(boolean json, boolean debug) {
    /** Plain text without debug lines. */
    public static final LogSettings DEFAULTS = new LogSettings(false, false);
}
