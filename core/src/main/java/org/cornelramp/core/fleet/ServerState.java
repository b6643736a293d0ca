package org.cornelramp.core.fleet;

/** State that a backend server reports of itself. Immutable, safe for use by any thread. */
public enum ServerState {
    /** Accepts new work. */
    READY(true),
    /** Is leaving: finishes its current work and accepts no new work. */
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
