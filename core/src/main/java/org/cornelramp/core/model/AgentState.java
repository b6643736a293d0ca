package org.cornelramp.core.model;

/** Whether an agent accepts new work. The state that the agent reports takes precedence over the VM list. */
public enum AgentState {
    /** Not ready yet: its backend server has not answered. */
    STARTING(false),
    /** Accepts new work. */
    ACTIVE(true),
    /** Finishes its requests and accepts no new work. */
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
