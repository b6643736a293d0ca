package org.cornelramp.gateway;

/** A monotonic clock in milliseconds, independent of changes to the time of day. Safe for use by any thread. */
public interface SteadyClock {

    /** The current time, in milliseconds since an arbitrary origin. */
    long millis();

    /** The monotonic clock of the JVM. */
    static SteadyClock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
