package org.cornelramp.core.selection;

import io.vavr.collection.HashMap;
import io.vavr.collection.Queue;
import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.Incarnation;

/**
 * Agents whose engines are likely to have the prefix of a prompt cached, according to cache events, which are delayed
 * and may be lost, and to what the entry itself sent.
 *
 * <p>A hint only lowers an estimate. A wrong one costs some speed but never affects the correctness of an answer.
 * Lost events therefore need no repair: the weight of a hint decays with its age, which also bounds the effect of a
 * lost eviction. Immutable, safe for use by any thread; holds at most {@value #MAX_HINTS} hints and drops the oldest.
 */
public final class PrefixHints {
    /** Maximum number of hints. */
    public static final int MAX_HINTS = 4_096;

    /** No hints: every prompt counts in full. */
    public static final PrefixHints NONE = new PrefixHints(HashMap.empty(), Queue.empty(), 0);

    private static final Duration HALF_LIFE = Duration.ofSeconds(30);

    /** Fraction of the prompt that a new hint counts as cached: the cache may have evicted it or hold only a part. */
    private static final double FRESH_CACHED_SHARE = 0.8;

    private final HashMap<CachedPrefix, Instant> lastSeen;
    private final Queue<CachedPrefix> insertionOrder;
    private final int queueLength;

    private PrefixHints(HashMap<CachedPrefix, Instant> lastSeen, Queue<CachedPrefix> insertionOrder, int queueLength) {
        this.lastSeen = lastSeen;
        this.insertionOrder = insertionOrder;
        this.queueLength = queueLength;
    }

    /** Returns these hints with one added: the agent's engine cached the prefix at {@code now}. */
    public PrefixHints withCached(String prefix, Incarnation agent, Instant now) {
        CachedPrefix key = new CachedPrefix(prefix, agent);
        if (lastSeen.containsKey(key)) {
            return new PrefixHints(lastSeen.put(key, now), insertionOrder, queueLength);
        }
        return new PrefixHints(lastSeen.put(key, now), insertionOrder.enqueue(key), queueLength + 1).withinLimit();
    }

    /** Returns these hints with one removed: the agent's engine evicted the prefix from its cache. */
    public PrefixHints withoutCached(String prefix, Incarnation agent) {
        return new PrefixHints(lastSeen.remove(new CachedPrefix(prefix, agent)), insertionOrder, queueLength);
    }

    /**
     * Fraction of the prompt that the agent's cache is expected to hold, from 0 to below 1.
     *
     * @param prefix hash of the prompt's prefix; empty if there is none
     */
    public double expectedCachedShare(String prefix, Incarnation agent, Instant now) {
        if (prefix.isEmpty() || lastSeen.isEmpty()) {
            return 0;
        }
        return lastSeen.get(new CachedPrefix(prefix, agent))
                .map(at -> FRESH_CACHED_SHARE * Math.pow(0.5, halfLives(at, now)))
                .getOrElse(0.0);
    }

    /** Number of hints. */
    public int size() {
        return lastSeen.size();
    }

    private static double halfLives(Instant at, Instant now) {
        return Math.max(0, Duration.between(at, now).toMillis()) / (double) HALF_LIFE.toMillis();
    }

    /** Evicts the oldest entry above the limit. A withdrawn hint stays in the queue, so the queue bounds both. */
    private PrefixHints withinLimit() {
        if (queueLength <= MAX_HINTS) {
            return this;
        }
        return new PrefixHints(lastSeen.remove(insertionOrder.head()), insertionOrder.tail(), queueLength - 1);
    }

    private record CachedPrefix(String prefix, Incarnation agent) {}
}
