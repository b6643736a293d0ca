package org.cornelramp.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The part of one row's limit that this entry may use: its own demand divided by the demand of all entries.
 *
 * <p>The reported total is delayed by a heartbeat to the agent and one back, and includes this entry's own demand as it
 * was then. The demand of the other entries is therefore estimated as the total minus the mean of what this entry
 * reported recently. With its current demand subtracted instead, an entry whose demand has just risen would take the
 * others for idle. Owned by one thread.
 */
final class DemandShare {
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(1);
    private static final int REPORTS_KEPT = 4;

    /** Time within which the first demand for a row reaches every entry: several heartbeats in both directions. */
    private static final Duration WARM_UP = Duration.ofSeconds(1);

    private final DecayingRate requestRate;
    private final Deque<Double> reported = new ArrayDeque<>();
    private final Instant started;
    private Instant lastRequestAt;

    DemandShare(Instant now) {
        requestRate = new DecayingRate(TIME_CONSTANT, now);
        lastRequestAt = now;
        started = now;
    }

    /**
     * Counts a request that arrives, whether or not it is admitted.
     *
     * <p>The part since the last request is a mean over that time. Sampled only when a request arrives, the demand of an
     * entry with few requests appears to be many times its mean, and with many such entries the parts would add up to
     * many times the limit.
     *
     * @param total demand of all entries, as reported by the agents
     * @param entries number of entries, as reported by the agents
     * @return the mean part since the last request, and the part from now on
     */
    Part requestArrived(double total, int entries, Instant now) {
        double others = demandOfOthers(total);
        double mean = part(requestRate.meanPerSecond(now), others);
        requestRate.add(now);
        lastRequestAt = now;
        double current = part(requestRate.perSecond(now), others);
        if (now.isBefore(started.plus(WARM_UP))) {
            // Demand that starts at all entries at once is not in any report yet. Each entry would assume that it is
            // the only one, and together they would admit the limit once per entry.
            double even = 1.0 / Math.max(1, entries);
            return new Part(Math.min(mean, even), Math.min(current, even));
        }
        return new Part(mean, current);
    }

    /** Returns this entry's demand in requests per second, and records it as reported to the agents. */
    double report(Instant now) {
        double own = requestRate.perSecond(now);
        reported.addLast(own);
        if (reported.size() > REPORTS_KEPT) {
            reported.removeFirst();
        }
        return own;
    }

    /** The current part, from 0 to 1. */
    double part(double total, Instant now) {
        return part(requestRate.perSecond(now), demandOfOthers(total));
    }

    private double demandOfOthers(double total) {
        if (reported.isEmpty()) {
            return total;
        }
        double sum = 0;
        for (double t : reported) {
            sum += t;
        }
        return Math.max(0, total - sum / reported.size());
    }

    private static double part(double own, double others) {
        return own <= 0 ? 0 : own / (own + others);
    }

    boolean isIdleSince(Instant limit) {
        return lastRequestAt.isBefore(limit);
    }

    /** Parts of a limit, 0 to 1: the mean since the last request, and the part from now on. */
    record Part(double mean, double current) {}
}
