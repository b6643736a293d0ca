package org.cornelramp.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Exponentially decaying rate of events per second. Owned by one thread.
 *
 * <p>Invariant: the weight of an event falls to 1/e within the time constant, so a burst no longer counts after a few
 * time constants.
 */
final class DecayingRate {
    private final double timeConstantSeconds;
    private double weight;
    private Instant updatedAt;

    DecayingRate(Duration timeConstant, Instant now) {
        this.timeConstantSeconds = Seconds.of(timeConstant);
        this.updatedAt = now;
    }

    void add(Instant now) {
        weight = weightAt(now) + 1;
        updatedAt = now.isAfter(updatedAt) ? now : updatedAt;
    }

    double perSecond(Instant now) {
        return weightAt(now) / timeConstantSeconds;
    }

    /** Mean of the decaying rate from the last event until {@code now}. */
    double meanPerSecond(Instant now) {
        double elapsed = Seconds.between(updatedAt, now);
        return elapsed <= 0
                ? weight / timeConstantSeconds
                : weight * (1 - Math.exp(-elapsed / timeConstantSeconds)) / elapsed;
    }

    private double weightAt(Instant now) {
        return weight * Math.exp(-Seconds.between(updatedAt, now) / timeConstantSeconds);
    }
}
