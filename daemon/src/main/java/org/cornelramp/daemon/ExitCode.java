package org.cornelramp.daemon;

/** Exit codes of the daemon's process. */
enum ExitCode {
    /** A planned stop after which all work had ended. */
    STOPPED(0),
    /** The daemon could not start; the log gives the reason. */
    NOT_STARTED(1),
    /** The command line or the settings are invalid; every fault is printed. */
    FAULTY_SETTINGS(2),
    /** A planned stop that aborted work in progress, because the drain limit passed or a second signal came. */
    WORK_ABORTED(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
