package org.cornelramp.gateway.follow;

import java.util.concurrent.locks.LockSupport;

/**
 * A thread that calls the platform's store again and again, and more rarely while the store does not answer.
 * {@link #start} and {@link #stop} are called by one thread.
 */
abstract class Follower {
    /** First pause after a fault, in milliseconds; doubled up to the longest. */
    private static final long FIRST_PAUSE = 150;

    /** Longest pause after a fault: what the store knows must be here within two seconds of its return. */
    private static final long LONGEST_PAUSE = 700;

    /**
     * How long the store holds a call back until something changes. A connection may go silent for good; it is
     * noticed after this time and the call's own timeout, before a change must be in force that is made as soon as
     * the process counts as connected again.
     */
    static final long LONG_POLL_MILLIS = 2_500;

    private final Thread thread;
    private volatile boolean running = true;
    private long faultPause = FIRST_PAUSE;

    Follower(String name) {
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public final void start() {
        thread.start();
    }

    /** Tells the thread to end; a call under way is not waited for. */
    public final void stop() {
        running = false;
        thread.interrupt();
    }

    /**
     * Makes one call.
     *
     * @return pause until the next in milliseconds; negative after a fault
     */
    abstract long step();

    /** Called when a step failed by a fault of this program. */
    abstract void failed(RuntimeException fault);

    private void run() {
        while (running) {
            long pause;
            try {
                pause = step();
            } catch (RuntimeException e) {
                failed(e);
                pause = -1;
            }
            if (pause < 0) {
                pause = faultPause;
                faultPause = Math.min(LONGEST_PAUSE, faultPause * 2);
            } else {
                faultPause = FIRST_PAUSE;
            }
            LockSupport.parkNanos(this, pause * 1_000_000L);
        }
    }
}
