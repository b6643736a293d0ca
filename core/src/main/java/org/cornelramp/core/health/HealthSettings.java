package org.cornelramp.core.health;

import java.time.Duration;

/**
 * Thresholds for reducing, ejecting and restoring an agent. Immutable, safe for use by any thread.
 *
 * @param failuresToEject consecutive failures after which an agent is ejected and gets only probes
 * @param slowRatio factor over the median time ratio of its group above which the share of an agent is reduced
 * @param initialProbeInterval time from ejection to the first probe; doubles with each failed probe
 * @param maxProbeInterval longest time between probes
 * @param rampUp time in which a new or restored agent reaches its full share
 * @param maxEjectedPart part of a group that may be ejected at the same time, 0 to 1
 */
public record HealthSettings(
        int failuresToEject,
        double slowRatio,
        Duration initialProbeInterval,
        Duration maxProbeInterval,
        Duration rampUp,
        double maxEjectedPart) {

    /** Five failures, three times slower, probes every 0.5 s to 30 s, 5 s ramp-up, at most half of a group ejected. */
    public static final HealthSettings DEFAULTS =
            new HealthSettings(5, 3, Duration.ofMillis(500), Duration.ofSeconds(30), Duration.ofSeconds(5), 0.5);
}
