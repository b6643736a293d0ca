package org.cornelramp.ports;

/** Thrown when a call to the platform or to a backend server fails. Immutable, safe for use by any thread. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final long retryAfterMillis;

    /** What is known about the effect of the failed call. */
    public enum Kind {
        /** The call was not sent: it had no effect. */
        NOT_SENT,
        /** The server refused the call: it had no effect. */
        REFUSED,
        /** The call was sent without an answer that states its outcome: it may have taken effect. */
        ANSWER_LOST,
        /** The requested data is no longer retained, or does not exist. */
        GONE,
        /** The answer does not have the agreed format. */
        MALFORMED
    }

    public PlatformException(Kind kind, String message, long retryAfterMillis) {
        super(message);
        this.kind = kind;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** What is known about the effect of the failed call. */
    public Kind kind() {
        return kind;
    }

    /** Delay before a retry, in milliseconds; 0 if the server did not state one. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
