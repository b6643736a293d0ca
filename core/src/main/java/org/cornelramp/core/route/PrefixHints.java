package org.cornelramp.core.route;

import io.vavr.collection.HashMap;
import io.vavr.collection.Queue;
import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Incarnation;

/**
 * Where the prefix of a prompt is likely to be cached, from events that come late and with gaps, and from
 * what the entry itself sent.
 *
 * <p>A hint only lowers an estimate. A wrong one costs some speed and never the correctness of an answer, which
 * is why lost events need no repair: a hint fades with its age, and a lost eviction is forgotten with it.
 * Immutable, safe for use by any thread; holds at most {@value #MAX_HINTS} hints and drops the oldest.
 */
public final class PrefixHints {
    /** Most hints held. */
    public static final int MAX_HINTS = 4_096;

    /** No hints: every prompt counts in full. */
    public static final PrefixHints NONE = new PrefixHints(HashMap.empty(), Queue.empty(), 0);

    private static final Duration HALF_LIFE = Duration.ofSeconds(30);

    /** Part of the prompt that a fresh hint takes off: the cache may have dropped it, or hold only a part. */
    private static final double FRESH_TRUST = 0.8;

    private final HashMap<Place, Instant> heard;
    private final Queue<Place> order;
    private final int queued;

    private PrefixHints(HashMap<Place, Instant> heard, Queue<Place> order, int queued) {
        this.heard = heard;
        this.order = order;
        this.queued = queued;
    }

    /** These hints and one more: the agent's engine took the prefix into its cache at {@code now}. */
    public PrefixHints withHeld(String prefix, Incarnation agent, Instant now) {
        Place place = new Place(prefix, agent);
        if (heard.containsKey(place)) {
            return new PrefixHints(heard.put(place, now), order, queued);
        }
        return new PrefixHints(heard.put(place, now), order.enqueue(place), queued + 1).trimmed();
    }

    /** These hints without one: the agent's engine dropped the prefix from its cache. */
    public PrefixHints withoutHeld(String prefix, Incarnation agent) {
        return new PrefixHints(heard.remove(new Place(prefix, agent)), order, queued);
    }

    /**
     * Part of the prompt that the agent's cache is expected to spare, from 0 to below 1.
     *
     * @param prefix hash of the prompt's prefix; empty if there is none
     */
    public double spared(String prefix, Incarnation agent, Instant now) {
        if (prefix.isEmpty() || heard.isEmpty()) {
            return 0;
        }
        return heard.get(new Place(prefix, agent))
                .map(at -> FRESH_TRUST * Math.pow(0.5, halfLives(at, now)))
                .getOrElse(0.0);
    }

    /** Hints held now. */
    public int size() {
        return heard.size();
    }

    private static double halfLives(Instant at, Instant now) {
        return Math.max(0, Duration.between(at, now).toMillis()) / (double) HALF_LIFE.toMillis();
    }

    /** A place whose hint was withdrawn stays in the queue until its turn, so the queue bounds both. */
    private PrefixHints trimmed() {
        if (queued <= MAX_HINTS) {
            return this;
        }
        return new PrefixHints(heard.remove(order.head()), order.tail(), queued - 1);
    }

    private record Place(String prefix, Incarnation agent) {}
}
