package org.cornelramp.standins.http;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on one daemon thread. Safe for use by any thread. */
public final class Timer {
    private static final System.Logger LOG = System.getLogger(Timer.class.getName());

    private final ScheduledThreadPoolExecutor executor;

    /** @param name name of the thread */
    public Timer(String name) {
        this.executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Runs a task once after a delay. */
    public void runAfter(long millis, Runnable task) {
        Future<?> unused = executor.schedule(() -> runAndLogFailure(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task at a fixed rate until the timer is stopped. */
    public void runEvery(long millis, Runnable task) {
        Future<?> unused =
                executor.scheduleAtFixedRate(() -> runAndLogFailure(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Stops the thread and discards all scheduled tasks. */
    public void stop() {
        executor.shutdownNow();
    }

    /** Logs an exception of a task: a periodic task that throws would not run again. */
    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "standin: scheduled task failed", e);
        }
    }
}
