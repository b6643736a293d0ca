package org.cornelramp.daemon.kernel;

import java.time.Instant;

/**
 * Something that the kernel starts, drains and stops.
 *
 * <p>The kernel calls {@link #start} in registration order, and on a planned stop {@link #drain} on all, waits
 * until all are {@link #isDrained} or the limit passes, and calls {@link #stop} in reverse order. All calls come
 * from the kernel's thread; implementations hand them over to their own.
 */
public interface Component {

    /** Name for logs. */
    String name();

    /** Starts the component's threads. */
    void start() throws Exception;

    /** Stops taking new work; work in progress goes on until {@code limit}. */
    default void drain(Instant limit) {}

    /** Whether no work is in progress any more. */
    default boolean isDrained() {
        return true;
    }

    /** Ends the component's threads. */
    void stop();
}
