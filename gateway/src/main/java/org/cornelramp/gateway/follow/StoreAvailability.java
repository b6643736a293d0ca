package org.cornelramp.gateway.follow;

/**
 * Whether the platform's store answers this process, as observed by all its threads. Safe for use by any thread; the
 * current time is passed in.
 *
 * <p>Each call to the store is billed, also the calls by which each thread would find out by itself that the store is
 * unavailable or has returned. So while the store is unavailable, mainly the renewal of the lease calls it, and its
 * first answer lets the other threads call again at once.
 */
public final class StoreAvailability {
    /** Consecutive faults from which on the store counts as unavailable; a single one may be a lost answer. */
    static final int UNAVAILABLE_FAULTS = 2;

    private boolean everAnswered;
    private int faults;
    private long recoveredMillis = Long.MIN_VALUE;
    private long reachedMillis = Long.MIN_VALUE / 2; // so that an age never overflows

    /**
     * Records that the store has answered.
     *
     * @param sentMillis when the call was made: the way to the store may have been lost since, even if the store held
     *     back its answer
     */
    public synchronized void recordAnswer(long sentMillis, long nowMillis) {
        reachedMillis = Math.max(reachedMillis, sentMillis);
        if (faults >= UNAVAILABLE_FAULTS) {
            recoveredMillis = nowMillis;
        }
        faults = 0;
        everAnswered = true;
    }

    /** Records that a call was refused or not answered. */
    public synchronized void recordFailure() {
        faults++;
    }

    /** Time since a call was made that has reached the store and been answered, in milliseconds. */
    synchronized long pathAgeMillis(long nowMillis) {
        return nowMillis - reachedMillis;
    }

    /** Whether the store has ever answered this process. */
    public synchronized boolean hasEverAnswered() {
        return everAnswered;
    }

    /** Whether the store currently answers no thread of this process. */
    public synchronized boolean isUnavailable() {
        return faults >= UNAVAILABLE_FAULTS;
    }

    /** Whether the store has become available again at or after the given time. */
    synchronized boolean hasRecoveredSince(long millis) {
        return recoveredMillis >= millis;
    }
}
