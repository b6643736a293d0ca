package org.cornelramp.core.admission;

/** Whether there is capacity for one more request. */
@FunctionalInterface
public interface Room {
    /**
     * Whether a request of a priority fits.
     *
     * @param margin part of the limits that may be used; 1 is the limit itself
     */
    boolean fits(int priority, double margin);
}
