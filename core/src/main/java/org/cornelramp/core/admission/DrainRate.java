package org.cornelramp.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates the rate, in cost per second, at which a queue drains.
 *
 * <p>Only time with a backlog counts, since an idle period says nothing about how fast a backlog would drain. The
 * estimate is exponentially weighted. Owned by one thread.
 */
final class DrainRate {
    private static final double TIME_CONSTANT_SECONDS = 2;
    private static final double MIN_OBSERVED_SECONDS = 0.2;
    private static final Duration MIN_BACKLOG_AGE = Duration.ofMillis(1);

    private double drainedCost;
    private double observedSeconds;
    private Instant backlogStart;
    private Instant updatedAt;

    /** Returns a copy that changes independently. */
    DrainRate copy() {
        DrainRate copy = new DrainRate();
        copy.drainedCost = drainedCost;
        copy.observedSeconds = observedSeconds;
        copy.backlogStart = backlogStart;
        copy.updatedAt = updatedAt;
        return copy;
    }

    /** Records that a request is about to be dequeued; {@code amount} is its cost. */
    void recordDequeue(double amount, Instant now) {
        advance(now);
        // A request that a free slot takes at once adds cost but no waiting time, which would make the rate infinite.
        if (updatedAt != null && !now.isBefore(backlogStart.plus(MIN_BACKLOG_AGE))) {
            drainedCost += amount;
        }
    }

    /** Records that the queue holds requests from now on. */
    void recordBacklog(Instant now) {
        if (updatedAt == null) {
            updatedAt = now;
            backlogStart = now;
        }
    }

    /** Records that the queue is empty. */
    void recordEmpty(Instant now) {
        advance(now);
        updatedAt = null;
    }

    /** Estimated cost per second; 0 until enough backlogged time has been observed. */
    double perSecond(Instant now) {
        advance(now);
        return observedSeconds < MIN_OBSERVED_SECONDS ? 0 : drainedCost / observedSeconds;
    }

    private void advance(Instant now) {
        if (updatedAt == null) {
            return;
        }
        double elapsed = Math.max(0, Duration.between(updatedAt, now).toNanos() / 1e9);
        double decay = Math.exp(-elapsed / TIME_CONSTANT_SECONDS);
        drainedCost *= decay;
        observedSeconds = (observedSeconds + elapsed) * decay;
        updatedAt = now.isAfter(updatedAt) ? now : updatedAt;
    }
}
