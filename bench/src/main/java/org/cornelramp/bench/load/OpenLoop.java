package org.cornelramp.bench.load;

import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/**
 * Sends requests at times drawn in advance, whether or not earlier ones have been answered.
 *
 * <p>Confined to the thread that runs it. Waiting for answers would reduce the load when the system is slow and hide
 * the delay that callers see; here the delay of a request that is sent late counts from the time at which it was due.
 */
public final class OpenLoop {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long SPIN_NANOS = 50_000;

    private final SplittableRandom random;

    /** @param seed seed of the times between requests */
    public OpenLoop(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Sends requests until the end of the load.
     *
     * @param perSecond mean rate; times between requests are exponential
     * @param startNanos start of the load, of {@link System#nanoTime}
     * @param seconds length of the load
     * @param send sends one request that is due at the given time; must not block
     */
    public void run(double perSecond, long startNanos, double seconds, LongConsumer send) {
        long end = startNanos + (long) (seconds * NANOS_PER_SECOND);
        long due = nextDueNanos(startNanos, perSecond);
        while (due - end < 0) {
            sleepUntil(due);
            send.accept(due);
            due = nextDueNanos(due, perSecond);
        }
    }

    /** Sends requests at a constant interval, so that a drop in the answers cannot come from a drop in the load. */
    public void runEvenly(double perSecond, long startNanos, double seconds, LongConsumer send) {
        long step = (long) (NANOS_PER_SECOND / perSecond);
        long end = startNanos + (long) (seconds * NANOS_PER_SECOND);
        for (long due = startNanos; due - end < 0; due += step) {
            sleepUntil(due);
            send.accept(due);
        }
    }

    private long nextDueNanos(long from, double perSecond) {
        return from + (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND);
    }

    private static void sleepUntil(long due) {
        long left = due - System.nanoTime();
        while (left > SPIN_NANOS) {
            LockSupport.parkNanos(left - SPIN_NANOS);
            left = due - System.nanoTime();
        }
    }
}
