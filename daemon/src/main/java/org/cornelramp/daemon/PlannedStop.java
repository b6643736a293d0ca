package org.cornelramp.daemon;

import java.time.Clock;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import org.cornelramp.daemon.kernel.Kernel;

/**
 * A planned stop: the first signal starts the drain, a second one ends it, and so does the limit.
 *
 * <p>{@link #begin} and {@link #signalled} may be called by any thread, {@link #awaitAndRun} by the main thread only.
 */
final class PlannedStop {
    private static final System.Logger LOG = System.getLogger(PlannedStop.class.getName());

    private final Kernel kernel;
    private final Clock clock;
    private final long drainMillis;
    private final Thread main = Thread.currentThread();
    private final CountDownLatch first = new CountDownLatch(1);

    PlannedStop(Kernel kernel, Clock clock, long drainMillis) {
        this.kernel = kernel;
        this.clock = clock;
        this.drainMillis = drainMillis;
    }

    /** Begins the stop; a repeat changes nothing. */
    void begin() {
        first.countDown();
    }

    /** Handles a stop signal. */
    synchronized void signalled() {
        if (first.getCount() > 0) {
            first.countDown();
        } else {
            main.interrupt();
        }
    }

    /** Waits for the first signal, drains and stops. */
    ExitCode awaitAndRun() {
        try {
            first.await();
        } catch (InterruptedException e) {
            // The second signal came at once: the drain tells all parts and then ends at its first wait.
            Thread.currentThread().interrupt();
        }
        LOG.log(System.Logger.Level.INFO, "kernel: a planned stop begins; limitMillis=" + drainMillis);
        boolean drained = drain(clock.instant().plusMillis(drainMillis));
        kernel.stop();
        LOG.log(System.Logger.Level.INFO, "kernel: stopped; cut=" + !drained);
        return drained ? ExitCode.STOPPED : ExitCode.CUT;
    }

    private boolean drain(Instant limit) {
        try {
            return kernel.drain(limit);
        } catch (InterruptedException e) {
            // The second signal; the interrupt is spent, so that stopping can still wait for threads to end.
            boolean drained = kernel.isDrained();
            LOG.log(System.Logger.Level.WARNING, "kernel: a second signal ended the drain; cut=" + !drained);
            return drained;
        }
    }
}
