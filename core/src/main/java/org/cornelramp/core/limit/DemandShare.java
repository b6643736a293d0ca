package org.cornelramp.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The part of one row's limit that this entry may use: its own demand over the demand of all entries.
 *
 * <p>The demand of all is late by a heartbeat to the agent and one back, and holds this entry's own demand as it
 * was then. The demand of the others is therefore the total less the mean of what this entry told lately; less its
 * demand now, an entry whose demand has just risen would take the others for idle. Owned by one thread.
 */
final class DemandShare {
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(1);
    private static final int TOLD_KEPT = 4;

    /** Time in which a row's first demand has reached every entry; several heartbeats both ways. */
    private static final Duration UNHEARD = Duration.ofSeconds(1);

    private final DecayingRate wanted;
    private final Deque<Double> told = new ArrayDeque<>();
    private final Instant started;
    private Instant lastWanted;

    DemandShare(Instant now) {
        wanted = new DecayingRate(TIME_CONSTANT, now);
        lastWanted = now;
        started = now;
    }

    /**
     * Counts a request that wants to pass, whether or not it may.
     *
     * <p>The part since the last one is a mean over that time. Read only at the moment of a request, the demand of
     * an entry with few requests looks many times its mean, and with many such entries so would the sum of parts.
     *
     * @param total demand of all entries as the agents told it
     * @param entries entries that there are, as the agents told it
     * @return the mean part since the last request and the part from now on
     */
    Part wanted(double total, int entries, Instant now) {
        double others = others(total);
        double mean = part(wanted.meanPerSecond(now), others);
        wanted.add(now);
        lastWanted = now;
        double current = part(wanted.perSecond(now), others);
        if (now.isBefore(started.plus(UNHEARD))) {
            // Demand that starts at all entries at once is not in any report yet: each would take itself to be the
            // only one, and together they would let in the limit as many times.
            double even = 1.0 / Math.max(1, entries);
            return new Part(Math.min(mean, even), Math.min(current, even));
        }
        return new Part(mean, current);
    }

    /** This entry's demand, in requests a second, noted as told to the agents. */
    double tell(Instant now) {
        double own = wanted.perSecond(now);
        told.addLast(own);
        if (told.size() > TOLD_KEPT) {
            told.removeFirst();
        }
        return own;
    }

    /** The part now, from 0 to 1. */
    double part(double total, Instant now) {
        return part(wanted.perSecond(now), others(total));
    }

    private double others(double total) {
        if (told.isEmpty()) {
            return total;
        }
        double sum = 0;
        for (double t : told) {
            sum += t;
        }
        return Math.max(0, total - sum / told.size());
    }

    private static double part(double own, double others) {
        return own <= 0 ? 0 : own / (own + others);
    }

    boolean idleSince(Instant limit) {
        return lastWanted.isBefore(limit);
    }

    /** Parts of a limit: the mean since the last request, and from now on. */
    record Part(double mean, double current) {}
}
