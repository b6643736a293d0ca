package org.cornelramp.ports.http;

/**
 * Timeouts of the platform's clients, all in milliseconds. Immutable, safe for use by any thread.
 *
 * @param connectMillis longest time to open a connection
 * @param answerMillis longest time to a whole answer, where a call names no other
 * @param idleMillis time after which an unused connection is closed; keep it below that of the servers
 */
public record HttpTimeouts(long connectMillis, long answerMillis, long idleMillis) {
    /** The timeouts used where the settings name none. */
    public static final HttpTimeouts DEFAULTS = new HttpTimeouts(1_000, 2_000, 5_000);

    /** The same with another time to a whole answer. */
    public HttpTimeouts withAnswerMillis(long millis) {
        return new HttpTimeouts(connectMillis, millis, idleMillis);
    }
}
