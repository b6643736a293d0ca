package org.cornelramp.cli.client;

/**
 * The complete HTTP response of one entry. Immutable, safe for use by any thread.
 *
 * @param entryUrl base URL of the entry
 * @param status HTTP status
 * @param body response body
 */
public record EntryResponse(String entryUrl, int status, String body) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Whether the status is below 400, the first error status. */
    public boolean isSuccess() {
        return status < FIRST_ERROR_STATUS;
    }
}
