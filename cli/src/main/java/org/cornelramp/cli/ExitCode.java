package org.cornelramp.cli;

/** Exit codes of the command line. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0, "done"),
    /** An entry refused the request, or what was asked for does not exist; nothing was changed. */
    REFUSED(1, "refused, nothing was changed"),
    /** The command line, the settings or a file is invalid; no change was sent. */
    USAGE(2, "invalid command line, settings or file; nothing was sent"),
    /** At least one edit was rejected. */
    REJECTED(3, "at least one edit was rejected; the others were accepted"),
    /** It is not known whether the request took effect. */
    UNKNOWN(4, "outcome unknown; the message says how to find it out"),
    /** No entry or gateway answered, or at least one entry is missing from a report over all entries. */
    UNREACHABLE(5, "no entry or gateway answered; nothing was changed"),
    /** The edits were accepted, but not every live process applied them within the time given. */
    NOT_APPLIED(6, "accepted, but not applied by every live process within the time given");

    private final int code;
    private final String description;

    ExitCode(int code, String description) {
        this.code = code;
        this.description = description;
    }

    /** The number that the process exits with. */
    public int code() {
        return code;
    }

    /** A short description for the help text. */
    public String description() {
        return description;
    }
}
