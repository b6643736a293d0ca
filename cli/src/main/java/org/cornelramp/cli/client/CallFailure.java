package org.cornelramp.cli.client;

/** Reports a call that got no answer. Immutable, safe for use by any thread. */
public final class CallFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    CallFailure(boolean sent, String message) {
        super(message);
        this.sent = sent;
    }

    /** Whether the entry may have got the call. */
    public boolean isSent() {
        return sent;
    }
}
