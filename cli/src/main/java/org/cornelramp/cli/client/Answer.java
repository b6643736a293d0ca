package org.cornelramp.cli.client;

/**
 * The whole answer of one entry. Immutable, safe for use by any thread.
 *
 * @param entry base URL of the entry
 * @param status HTTP status
 * @param body the body
 */
public record Answer(String entry, int status, String body) {
    private static final int FIRST_ERROR = 400;

    /** Whether the entry did what was asked. */
    public boolean isSuccess() {
        return status < FIRST_ERROR;
    }
}
