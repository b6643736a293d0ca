package org.cornelramp.gateway;

/** Milliseconds that only grow, whatever happens to the time of day. Safe for use by any thread. */
public interface SteadyClock {

    /** The time now, in milliseconds from an arbitrary start. */
    long millis();

    /** The virtual machine's steady clock. */
    static SteadyClock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
