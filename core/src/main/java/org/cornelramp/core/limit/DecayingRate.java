package org.cornelramp.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Events a second, the older ones counting less. Owned by one thread.
 *
 * <p>Invariant: the weight of an event falls to 1/e within the time constant, so the rate forgets a burst in a
 * few of them.
 */
final class DecayingRate {
    private final double tau;
    private double weight;
    private Instant at;

    DecayingRate(Duration timeConstant, Instant now) {
        this.tau = Seconds.of(timeConstant);
        this.at = now;
    }

    void add(Instant now) {
        weight = weightAt(now) + 1;
        at = now.isAfter(at) ? now : at;
    }

    double perSecond(Instant now) {
        return weightAt(now) / tau;
    }

    /** Mean rate from the last event until {@code now}. */
    double meanPerSecond(Instant now) {
        double passed = Seconds.between(at, now);
        return passed <= 0 ? weight / tau : weight * (1 - Math.exp(-passed / tau)) / passed;
    }

    private double weightAt(Instant now) {
        return weight * Math.exp(-Seconds.between(at, now) / tau);
    }
}
