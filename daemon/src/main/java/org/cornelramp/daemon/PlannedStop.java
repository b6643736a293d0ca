package org.cornelramp.daemon;

import java.time.Clock;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import org.cornelramp.daemon.kernel.Kernel;

/**
 * A planned stop: the first stop signal starts the drain; a second signal or the drain limit ends it.
 *
 * <p>{@link #begin} and {@link #onStopSignal} may be called by any thread, {@link #awaitAndRun} by the main thread
 * only.
 */
final class PlannedStop {
    private static final System.Logger LOG = System.getLogger(PlannedStop.class.getName());

    private final Kernel kernel;
    private final Clock clock;
    private final long drainMillis;
    private final Thread main = Thread.currentThread();
    private final CountDownLatch stopRequested = new CountDownLatch(1);

    PlannedStop(Kernel kernel, Clock clock, long drainMillis) {
        this.kernel = kernel;
        this.clock = clock;
        this.drainMillis = drainMillis;
    }

    /** Starts the stop; repeated calls have no effect. */
    void begin() {
        stopRequested.countDown();
    }

    /** Handles a stop signal: the first starts the drain, any further one interrupts it. */
    synchronized void onStopSignal() {
        if (stopRequested.getCount() > 0) {
            stopRequested.countDown();
        } else {
            main.interrupt();
        }
    }

    /** Waits until the stop is requested, then drains and stops the kernel. */
    ExitCode awaitAndRun() {
        try {
            stopRequested.await();
        } catch (InterruptedException e) {
            // The second signal came before the drain began: the drain notifies all components and ends at its first
            // wait.
            Thread.currentThread().interrupt();
        }
        LOG.log(System.Logger.Level.INFO, "kernel: a planned stop starts; limitMillis=" + drainMillis);
        boolean drained = drain(clock.instant().plusMillis(drainMillis));
        kernel.stop();
        LOG.log(System.Logger.Level.INFO, "kernel: stopped; cut=" + !drained);
        return drained ? ExitCode.STOPPED : ExitCode.WORK_ABORTED;
    }

    private boolean drain(Instant limit) {
        try {
            return kernel.drain(limit);
        } catch (InterruptedException e) {
            // The second signal ended the drain. The interrupt flag is clear, so stopping can still wait for threads to
            // end.
            boolean drained = kernel.isDrained();
            LOG.log(System.Logger.Level.WARNING, "kernel: a second signal ended the drain; cut=" + !drained);
            return drained;
        }
    }
}
