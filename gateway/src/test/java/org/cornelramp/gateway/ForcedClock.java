package org.cornelramp.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * The clock of one call, which forces the order of a check of its timeout and of another event.
 *
 * <p>It stands still until an event has happened, then jumps past the deadline: at the read after the first that finds
 * the event, since that one may be the record of the request's write, which must precede the jump. What waits for
 * {@link #awaitCheck} goes on once the call has been checked at the later time without being given up. Whichever thread
 * reads it, time passes only for reads of the thread that created it, which makes the call. Safe for use by any thread.
 */
final class ForcedClock implements LongSupplier {
    private final Thread caller = Thread.currentThread();
    private final CountDownLatch checked = new CountDownLatch(1);
    private final BooleanSupplier event;
    private final long laterMillis;
    private boolean hasHappened; // only used by the caller's thread
    private volatile long now;

    /**
     * @param event whether the event that precedes the check has happened
     * @param laterMillis time of the check; the call is made at 0
     */
    ForcedClock(BooleanSupplier event, long laterMillis) {
        this.event = event;
        this.laterMillis = laterMillis;
    }

    @Override
    public long getAsLong() {
        if (Thread.currentThread() == caller) {
            if (now == laterMillis) {
                checked.countDown(); // the read after the jump was followed by a check, and the call goes on
            } else if (hasHappened) {
                now = laterMillis;
            } else {
                hasHappened = event.getAsBoolean();
            }
        }
        return now;
    }

    /** Whether the time has passed the deadline. */
    boolean hasJumped() {
        return now == laterMillis;
    }

    /** Waits until the call has been checked at the later time, or has ended. */
    void awaitCheck() {
        try {
            checked.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the wait for the check. */
    void end() {
        checked.countDown();
    }
}
