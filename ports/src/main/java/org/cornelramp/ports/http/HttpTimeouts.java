package org.cornelramp.ports.http;

/**
 * Timeouts of the platform's clients, all in milliseconds. Immutable, safe for use by any thread.
 *
 * @param connectMillis longest time to open a connection
 * @param answerMillis longest time until the answer is complete, for calls without a timeout of their own
 * @param idleMillis time after which an unused connection is closed; keep it below that of the servers
 */
public record HttpTimeouts(long connectMillis, long answerMillis, long idleMillis) {
    /** The timeouts used if the settings contain none. */
    public static final HttpTimeouts DEFAULTS = new HttpTimeouts(1_000, 2_000, 5_000);

    /** A copy with another answer timeout. */
    public HttpTimeouts withAnswerMillis(long millis) {
        return new HttpTimeouts(connectMillis, millis, idleMillis);
    }
}
