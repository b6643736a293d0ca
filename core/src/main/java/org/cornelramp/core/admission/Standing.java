package org.cornelramp.core.admission;

/** How the recent share of a request's priority and organisation affects the decision on it. */
public enum Standing {
    /** Its share is fair. */
    FAIR(false, true),
    /** Its priority got a smaller share than a less urgent one: it is tried first, without hysteresis. */
    INVERTED(true, true),
    /** Its priority or organisation got less than a quarter of the mean share: it also needs to leave no reserve. */
    STARVED(true, false);

    private final boolean first;
    private final boolean leavesReserve;

    Standing(boolean first, boolean leavesReserve) {
        this.first = first;
        this.leavesReserve = leavesReserve;
    }

    boolean isFirst() {
        return first;
    }

    boolean leavesReserve() {
        return leavesReserve;
    }
}
