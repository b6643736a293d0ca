package org.cornelramp.core.health;

import java.time.Duration;

/**
 * When an agent loses work and how it wins it back. Immutable, safe for use by any thread.
 *
 * @param failuresToEject consecutive failures after which an agent gets probes only
 * @param slowRatio times slower than the median of its peers at which an agent starts to lose work
 * @param firstProbe time from ejection to the first probe; doubles with each failed probe
 * @param lastProbe longest time between probes
 * @param rampUp time in which a new or returned agent comes to its full share
 * @param mostEjected part of a group that may be ejected at once, 0 to 1
 */
public record HealthSettings(
        int failuresToEject,
        double slowRatio,
        Duration firstProbe,
        Duration lastProbe,
        Duration rampUp,
        double mostEjected) {

    /** Five failures, three times slower, probes after 0.5 s to 30 s, 5 s ramp-up, at most half of a group. */
    public static final HealthSettings DEFAULTS =
            new HealthSettings(5, 3, Duration.ofMillis(500), Duration.ofSeconds(30), Duration.ofSeconds(5), 0.5);
}
