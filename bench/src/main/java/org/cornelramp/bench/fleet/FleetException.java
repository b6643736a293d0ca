package org.cornelramp.bench.fleet;

/** Reports that an operation on a fleet or one of its processes failed. Immutable, safe for use by any thread. */
public final class FleetException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public FleetException(String message) {
        super(message);
    }

    public FleetException(String message, Throwable cause) {
        super(message, cause);
    }
}
