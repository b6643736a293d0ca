package org.cornelramp.bench.fleet;

/** Reports that a process of a fleet did not do what the tool asked. Immutable, safe for use by any thread. */
public final class FleetException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public FleetException(String message) {
        super(message);
    }

    public FleetException(String message, Throwable cause) {
        super(message, cause);
    }
}
