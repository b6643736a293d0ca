package org.cornelramp.ports;

/** Reports that the platform or a backend server did not do what was asked. Immutable, safe for use by any thread. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final long retryAfterMillis;

    /** What is known after the failure. */
    public enum Kind {
        /** The call did not reach the other side: it had no effect. */
        NOT_SENT,
        /** The other side refused: the call had no effect. */
        REFUSED,
        /** Sent, and no answer came: the call may have had its effect. */
        ANSWER_LOST,
        /** What was asked for is no longer kept. */
        GONE,
        /** An answer came that is not in the agreed form. */
        MALFORMED
    }

    public PlatformException(Kind kind, String message, long retryAfterMillis) {
        super(message);
        this.kind = kind;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** What is known after the failure. */
    public Kind kind() {
        return kind;
    }

    /** When to come back, in milliseconds; 0 if the other side did not say. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
