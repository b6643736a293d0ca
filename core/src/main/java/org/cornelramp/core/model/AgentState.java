package org.cornelramp.core.model;

/** Whether an agent takes new work. Its own word goes before that of the VM list. */
public enum AgentState {
    /** Not yet ready: its backend server has not answered. */
    STARTING(false),
    /** Takes new work. */
    ACTIVE(true),
    /** Finishes what it has and takes no new work. */
    LEAVING(false),
    /** Its backend server does not answer. */
    BACKEND_DOWN(false);

    private final boolean takesWork;

    AgentState(boolean takesWork) {
        this.takesWork = takesWork;
    }

    /** Whether new work may be sent to an agent in this state. */
    public boolean takesWork() {
        return takesWork;
    }
}
