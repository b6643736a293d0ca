package org.cornelramp.daemon.kernel;

import java.time.Instant;

/**
 * A part of the daemon with threads or work that the kernel starts, drains and stops.
 *
 * <p>The kernel calls {@link #start} in registration order, and on a planned stop {@link #drain} on all, waits until
 * all are {@link #isDrained} or the limit passes, and calls {@link #stop} in reverse order. All calls come from the
 * kernel's thread; implementations pass them on to their own threads.
 */
public interface Component {

    /** Returns the name for logs. */
    String name();

    /** Starts the component's threads. */
    void start() throws Exception;

    /** Stops accepting new work; work in progress continues until {@code limit}. */
    default void drain(Instant limit) {}

    /** Whether no work is in progress. */
    default boolean isDrained() {
        return true;
    }

    /** Stops the component's threads. */
    void stop();
}
