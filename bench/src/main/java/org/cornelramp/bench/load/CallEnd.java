package org.cornelramp.bench.load;

/** How one request ended for its caller. */
public enum CallEnd {
    /** The whole, correct answer came before the deadline. */
    IN_TIME(true),
    /** The whole, correct answer came after the deadline. */
    LATE(true),
    /** The caller was told that the request did not run. */
    NOT_RUN(false),
    /** The caller was told that it is unknown whether the request ran. */
    UNKNOWN(false),
    /** No final answer came: the connection was refused or cut, or the caller gave up waiting. */
    CUT(false),
    /** A complete answer came, but not the correct one. */
    WRONG(false);

    private final boolean answered;

    CallEnd(boolean answered) {
        this.answered = answered;
    }

    /** Whether a whole, correct answer came. */
    public boolean isAnswered() {
        return answered;
    }
}
