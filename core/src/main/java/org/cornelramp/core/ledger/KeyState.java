package org.cornelramp.core.ledger;

/** How far a key has come at its agent. A key only ever moves down this list. */
public enum KeyState {
    /** Admitted and not started: it can still be set to never run. */
    QUEUED(false),
    /** Handed to the backend server: nothing can be said until it ends. */
    STARTED(false),
    /** Ended; its result is kept, and it never runs again. */
    FINISHED(true),
    /** Never started, and set to never run. */
    TOMBSTONED(true);

    private final boolean settled;

    KeyState(boolean settled) {
        this.settled = settled;
    }

    /** Whether the last word on the key is known. */
    public boolean isSettled() {
        return settled;
    }
}
