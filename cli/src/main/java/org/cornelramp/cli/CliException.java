package org.cornelramp.cli;

/** Ends a command with an exit code and a message that names the remedy. Immutable, safe for use by any thread. */
public final class CliException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    public CliException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    /** The exit code of the process. */
    public ExitCode code() {
        return code;
    }
}
