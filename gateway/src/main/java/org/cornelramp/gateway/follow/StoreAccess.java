package org.cornelramp.gateway.follow;

/**
 * Whether the platform's store answers this process, as all its threads have seen together. Safe for use by any thread; the
 * present time is passed in.
 *
 * <p>Each thread that calls the store would find out by itself that it is away and that it is back, and each such call is
 * paid for. So while it is away the renewal of the lease alone asks, and its first answer lets the others call at once.
 */
public final class StoreAccess {
    /** Faults without an answer between them from which on the store counts as away: one alone may be a lost answer. */
    static final int FAULTS_AWAY = 2;

    private boolean everAnswered;
    private int faults;
    private long returnedMillis = Long.MIN_VALUE;

    /** Notes that the store has answered. */
    public synchronized void answered(long nowMillis) {
        if (faults >= FAULTS_AWAY) {
            returnedMillis = nowMillis;
        }
        faults = 0;
        everAnswered = true;
    }

    /** Notes that a call was refused or not answered. */
    public synchronized void failed() {
        faults++;
    }

    /** Whether the store has answered this process at all, so that it knows something to go by. */
    public synchronized boolean hasEverAnswered() {
        return everAnswered;
    }

    /** Whether the store answers nobody in this process now. */
    public synchronized boolean isAway() {
        return faults >= FAULTS_AWAY;
    }

    /** Whether the store has come back at or after a moment. */
    synchronized boolean hasReturnedSince(long millis) {
        return returnedMillis >= millis;
    }
}
