package org.cornelramp.cli;

/** How the command line ends. */
public enum ExitCode {
    /** Done. */
    DONE(0, "done"),
    /** Refused, and nothing was changed. */
    REFUSED(1, "refused, nothing was changed"),
    /** The command line or a file is faulty; nothing was sent. */
    USAGE(2, "faulty command line, settings or file; nothing was sent"),
    /** At least one edit was rejected. */
    REJECTED(3, "at least one edit was rejected; the others were accepted"),
    /** It is not known what became of the request. */
    UNKNOWN(4, "not known what became of it; the message says how to find out"),
    /** No entry answered. */
    UNREACHABLE(5, "no entry answered; nothing was changed"),
    /** Accepted, but not yet applied everywhere within the time. */
    NOT_APPLIED(6, "accepted, but not applied by every live process within the time");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** The process's exit code. */
    public int code() {
        return code;
    }

    /** What it means, for the help. */
    public String meaning() {
        return meaning;
    }
}
