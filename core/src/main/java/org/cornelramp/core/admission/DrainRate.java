package org.cornelramp.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Cost a second at which a queue drains, measured only while requests wait: an idle time says nothing of how fast
 * a backlog would go. Owned by one thread.
 */
final class DrainRate {
    private static final double TAU_SECONDS = 2;
    private static final double LEAST_SECONDS = 0.2;
    private static final Duration BACKLOG = Duration.ofMillis(1);

    private double cost;
    private double seconds;
    private Instant backlogStart;
    private Instant since;

    /** Notes that cost is about to leave a queue in which it waits. */
    void drained(double amount, Instant now) {
        pass(now);
        // What a free slot takes the moment it comes would count for no time at all, and the rate be endless.
        if (since != null && !now.isBefore(backlogStart.plus(BACKLOG))) {
            cost += amount;
        }
    }

    /** Notes that requests wait from now on. */
    void backlogged(Instant now) {
        if (since == null) {
            since = now;
            backlogStart = now;
        }
    }

    /** Notes that no request waits. */
    void idle(Instant now) {
        pass(now);
        since = null;
    }

    /** Cost a second; 0 while too little has been seen. */
    double perSecond(Instant now) {
        pass(now);
        return seconds < LEAST_SECONDS ? 0 : cost / seconds;
    }

    private void pass(Instant now) {
        if (since == null) {
            return;
        }
        double passed = Math.max(0, Duration.between(since, now).toNanos() / 1e9);
        double kept = Math.exp(-passed / TAU_SECONDS);
        cost *= kept;
        seconds = (seconds + passed) * kept;
        since = now.isAfter(since) ? now : since;
    }
}
