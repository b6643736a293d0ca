package org.cornelramp.standins.http;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs work later on one daemon thread. Safe for use by any thread. */
public final class Timer {
    private static final System.Logger LOG = System.getLogger(Timer.class.getName());

    private final ScheduledThreadPoolExecutor executor;

    /** @param name name of the thread */
    public Timer(String name) {
        this.executor = new ScheduledThreadPoolExecutor(1, work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Runs work once. */
    public void after(long millis, Runnable work) {
        Future<?> unused = executor.schedule(() -> guard(work), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs work again and again, until the timer is stopped. */
    public void every(long millis, Runnable work) {
        Future<?> unused = executor.scheduleAtFixedRate(() -> guard(work), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Drops all work. */
    public void stop() {
        executor.shutdownNow();
    }

    /** A failure must not end work that is to be run again. */
    private static void guard(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "standin: timed work failed", e);
        }
    }
}
