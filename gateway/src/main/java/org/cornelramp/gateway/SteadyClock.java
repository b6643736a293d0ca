package org.cornelramp.gateway;

import java.util.concurrent.locks.LockSupport;

/**
 * A monotonic clock in milliseconds, independent of changes to the time of day. Safe for use by any thread.
 */
public interface SteadyClock {

    /** The current time, in milliseconds since an arbitrary origin. */
    long millis();

    /** Lets the current thread wait, or less long if it is interrupted or unparked. */
    default void pause(long millis) {
        LockSupport.parkNanos(this, millis * 1_000_000L);
    }

    /** The monotonic clock of the JVM. */
    static SteadyClock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
