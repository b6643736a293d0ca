package org.cornelramp.daemon;

/** How the daemon's process ends. */
enum ExitCode {
    /** Planned stop, all work ended. */
    STOPPED(0),
    /** The daemon could not start; the log says why. */
    NOT_STARTED(1),
    /** The command line or the settings are faulty; every fault is printed. */
    FAULTY_SETTINGS(2),
    /** Planned stop that cut work in progress, at the drain limit or by a second signal. */
    CUT(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
