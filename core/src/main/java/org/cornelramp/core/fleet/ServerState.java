package org.cornelramp.core.fleet;

/** What a backend server says of itself. Immutable, safe for use by any thread. */
public enum ServerState {
    /** Takes new work. */
    READY(true),
    /** Is leaving: finishes what it has and takes nothing new. */
    DRAINING(false);

    private final boolean takesWork;

    ServerState(boolean takesWork) {
        this.takesWork = takesWork;
    }

    /** Whether new work may be sent to it. */
    public boolean takesWork() {
        return takesWork;
    }
}
