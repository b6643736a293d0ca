package org.cornelramp.cli.client;

/** Thrown when a call to an entry got no response. Immutable, safe for use by any thread. */
public final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveBeenSent;

    CallException(boolean mayHaveBeenSent, String message) {
        super(message);
        this.mayHaveBeenSent = mayHaveBeenSent;
    }

    /** Whether the request was at least begun, so that the entry may have received it. */
    public boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }
}
