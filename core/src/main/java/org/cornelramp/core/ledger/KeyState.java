package org.cornelramp.core.ledger;

/** State of a key at its agent. A key only ever moves to a later state of this list. */
public enum KeyState {
    /** Admitted and not started; it can still be tombstoned. */
    QUEUED(false),
    /** Handed to the backend server; the result is not known until the call ends. */
    STARTED(false),
    /** Ended; its result is recorded, and the key never runs again. */
    FINISHED(true),
    /** Never started, and marked so that it never runs. */
    TOMBSTONED(true);

    private final boolean settled;

    KeyState(boolean settled) {
        this.settled = settled;
    }

    /** Whether the final result of the key is known. */
    public boolean isSettled() {
        return settled;
    }
}
