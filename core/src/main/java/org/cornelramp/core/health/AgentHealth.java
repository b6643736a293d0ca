package org.cornelramp.core.health;

import java.time.Duration;
import java.time.Instant;

/** Health statistics of one agent. Owned by one thread. */
final class AgentHealth {
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final int MIN_TIMED_REQUESTS = 8;
    private static final double INITIAL_SHARE = 0.1;
    private static final double FAILURE_FACTOR = 0.5;

    final String group;
    private final HealthSettings settings;
    private Instant rampStart;
    private int consecutiveFailures;
    private double failureRate;
    private double smoothedRatio = 1;
    private int timedRequests;
    private boolean ejected;
    private boolean probing;
    private Duration probeInterval;
    private Instant nextProbeAt;

    AgentHealth(String group, HealthSettings settings, Instant now) {
        this.group = group;
        this.settings = settings;
        this.rampStart = now;
        this.probeInterval = settings.initialProbeInterval();
        this.nextProbeAt = now;
    }

    void recordSuccess(double timeRatio, Instant now) {
        consecutiveFailures = 0;
        smoothedRatio += (timedRequests == 0 ? 1 : SMOOTHING_FACTOR) * (timeRatio - smoothedRatio);
        timedRequests++;
        failureRate -= SMOOTHING_FACTOR * failureRate;
        if (ejected) {
            ejected = false;
            probeInterval = settings.initialProbeInterval();
            rampStart = now;
            // Times from before the ejection say nothing about the server after its recovery.
            smoothedRatio = timeRatio;
            timedRequests = 1;
        }
        probing = false;
    }

    void recordFailure(Instant now) {
        consecutiveFailures++;
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        if (ejected && probing) {
            Duration doubled = probeInterval.multipliedBy(2);
            probeInterval = doubled.compareTo(settings.maxProbeInterval()) < 0 ? doubled : settings.maxProbeInterval();
            nextProbeAt = now.plus(probeInterval);
        } else if (!ejected && consecutiveFailures >= settings.failuresToEject()) {
            ejected = true;
            nextProbeAt = now.plus(probeInterval);
        }
        probing = false;
    }

    /** Records that the agent got a probe. The next one becomes due even if this one is never answered. */
    void recordProbe(Instant now) {
        probing = true;
        nextProbeAt = now.plus(settings.maxProbeInterval());
    }

    boolean isEjected() {
        return ejected;
    }

    boolean probeDue(Instant now) {
        return ejected && !now.isBefore(nextProbeAt);
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Smoothed ratio of observed to expected time; 0 while there are too few samples. */
    double timeRatio() {
        return timedRequests < MIN_TIMED_REQUESTS ? 0 : smoothedRatio;
    }

    /**
     * The share of this agent, from ramp-up, failures and slowness, without the bound on the ejected part of its group.
     *
     * @param median median time ratio of the group; 0 if unknown
     */
    double share(double median, Instant now) {
        double ramp = INITIAL_SHARE + (1 - INITIAL_SHARE) * rampProgress(now);
        // An agent that fails every other request never has many consecutive failures, so its failure rate counts too.
        double failing = Math.min(Math.pow(FAILURE_FACTOR, consecutiveFailures), (1 - failureRate) * (1 - failureRate));
        double limit = median * settings.slowRatio();
        double slow = median > 0 && timeRatio() > limit ? limit / timeRatio() : 1;
        return ramp * failing * slow;
    }

    private double rampProgress(Instant now) {
        double elapsed = Duration.between(rampStart, now).toNanos();
        double total = Math.max(1, settings.rampUp().toNanos());
        return Math.max(0, Math.min(1, elapsed / total));
    }
}
