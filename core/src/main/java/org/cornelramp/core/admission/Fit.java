package org.cornelramp.core.admission;

/** Whether a request fits now. */
public enum Fit {
    /** It is expected to be on time, and so are the requests beside it. */
    ON_TIME(true),
    /** It is expected to be late, and delays nothing that can be on time. */
    LATE(true),
    /** It has to wait for capacity. */
    NO_CAPACITY(false),
    /** Its client would leave before the first event. */
    OUT_OF_TIME(false);

    private final boolean admits;

    Fit(boolean admits) {
        this.admits = admits;
    }

    /** Whether the request may start now. */
    public boolean admits() {
        return admits;
    }
}
