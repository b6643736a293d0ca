package org.cornelramp.core.health;

import java.time.Duration;
import java.time.Instant;

/** What is known of one agent. Owned by one thread. */
final class AgentHealth {
    private static final double NEWEST_PART = 0.2;
    private static final int FEWEST_TIMED = 8;
    private static final double FIRST_SHARE = 0.1;
    private static final double FAILURE_FACTOR = 0.5;

    final String group;
    private final HealthSettings settings;
    private Instant rampFrom;
    private int failures;
    private double failureRate;
    private double ratio = 1;
    private int timed;
    private boolean ejected;
    private boolean probing;
    private Duration probeAfter;
    private Instant probeAt;

    AgentHealth(String group, HealthSettings settings, Instant now) {
        this.group = group;
        this.settings = settings;
        this.rampFrom = now;
        this.probeAfter = settings.firstProbe();
        this.probeAt = now;
    }

    void succeeded(double timeRatio, Instant now) {
        failures = 0;
        ratio += (timed == 0 ? 1 : NEWEST_PART) * (timeRatio - ratio);
        timed++;
        failureRate -= NEWEST_PART * failureRate;
        if (ejected) {
            ejected = false;
            probeAfter = settings.firstProbe();
            rampFrom = now;
            // What was slow before the ejection says nothing of the server that answers now.
            ratio = timeRatio;
            timed = 1;
        }
        probing = false;
    }

    void failed(Instant now) {
        failures++;
        failureRate += NEWEST_PART * (1 - failureRate);
        if (ejected && probing) {
            Duration doubled = probeAfter.multipliedBy(2);
            probeAfter = doubled.compareTo(settings.lastProbe()) < 0 ? doubled : settings.lastProbe();
            probeAt = now.plus(probeAfter);
        } else if (!ejected && failures >= settings.failuresToEject()) {
            ejected = true;
            probeAt = now.plus(probeAfter);
        }
        probing = false;
    }

    /** Marks the one request that an ejected agent is given. A lost one must not block the next for ever. */
    void probeSent(Instant now) {
        probing = true;
        probeAt = now.plus(settings.lastProbe());
    }

    boolean isEjected() {
        return ejected;
    }

    boolean probeDue(Instant now) {
        return ejected && !now.isBefore(probeAt);
    }

    int failures() {
        return failures;
    }

    /** Observed over expected time, smoothed; 0 while too few were seen. */
    double timeRatio() {
        return timed < FEWEST_TIMED ? 0 : ratio;
    }

    /** The share before the group is looked at: ramp-up, failures in a row and slowness against the median. */
    double share(double median, Instant now) {
        double ramp = FIRST_SHARE + (1 - FIRST_SHARE) * ramped(now);
        // One that fails every other request never has many in a row, so its rate counts as well.
        double failing = Math.min(Math.pow(FAILURE_FACTOR, failures), (1 - failureRate) * (1 - failureRate));
        double limit = median * settings.slowRatio();
        double slow = median > 0 && timeRatio() > limit ? limit / timeRatio() : 1;
        return ramp * failing * slow;
    }

    private double ramped(Instant now) {
        double passed = Duration.between(rampFrom, now).toNanos();
        double whole = Math.max(1, settings.rampUp().toNanos());
        return Math.max(0, Math.min(1, passed / whole));
    }
}
