package org.cornelramp.core.path;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cornelramp.core.member.PeerReports;
import org.cornelramp.core.model.BackendServerId;

/**
 * The beginnings of prompts that the running requests of this gateway and its peers hold on engines. Owned by one thread.
 *
 * <p>An engine keeps the memory of a prompt only while the request runs, so an entry ends with its request, or with the
 * silence of the peer that reported it. An engine that restarts has another id, under which nothing is held. Invariant:
 * at most {@code maxPrefixes} beginnings are tracked; further ones are left out, which only costs a saving.
 */
public final class PromptHolders {
    /** Age from which a sketch is built again if the requests have changed; half the time between two updates. */
    private static final long SKETCH_VALID_MILLIS = 60;

    /**
     * Requests with a beginning that make it more useful to peers. Without a bound, short beginnings that most requests
     * share, which peers hold anyway, would fill the sketch.
     */
    private static final int MAX_COUNTED_REQUESTS = 4;

    /** Beginnings considered for a sketch; it holds fewer than that, and each one that is tried copies it. */
    private static final int MAX_SKETCH_ITEMS = 64;

    private final int maxPrefixes;

    /** For each beginning the engines that hold it, and for each first layer the number of requests and peers. */
    private final Map<Integer, Map<Integer, TreeMap<Integer, Integer>>> holders = new HashMap<>();

    private final Set<Hold> ownHolds = new LinkedHashSet<>();
    private final PeerReports<PrefixSketch> peers = new PeerReports<>();
    private PrefixSketch sketch = PrefixSketch.EMPTY;
    private boolean changed;
    private long sketchMillis;

    /** What one running request holds; equal only to itself. Immutable, safe for use by any thread. */
    public static final class Hold {
        private final PromptPrefix prefix;
        private final int levels;
        private final StagePath path;

        private Hold(PromptPrefix prefix, int levels, StagePath path) {
            this.prefix = prefix;
            this.levels = levels;
            this.path = path;
        }

        /** The path on whose engines it is held. */
        public StagePath path() {
            return path;
        }
    }

    /** @param maxPrefixes maximum number of beginnings that are tracked */
    public PromptHolders(int maxPrefixes) {
        this.maxPrefixes = maxPrefixes;
    }

    static int hash(BackendServerId id) {
        return PromptPrefix.mix(id.value().hashCode());
    }

    /** Records that an own request holds its beginning on all engines of a path, until {@link #release}. */
    public Hold hold(PromptPrefix prefix, StagePath path) {
        int levels = 0;
        while (levels < prefix.levels() && hasRoom(prefix.hash(levels + 1))) {
            levels++;
            for (Hop hop : path.hops()) {
                add(prefix.hash(levels), hash(hop.server().id()), hop.from(), 1);
            }
        }
        Hold hold = new Hold(prefix, levels, path);
        ownHolds.add(hold);
        changed = true;
        return hold;
    }

    /** Records that an own request has ended or has left the path. */
    public void release(Hold hold) {
        if (!ownHolds.remove(hold)) {
            return;
        }
        changed = true;
        for (int level = 1; level <= hold.levels; level++) {
            for (Hop hop : hold.path.hops()) {
                add(hold.prefix.hash(level), hash(hop.server().id()), hop.from(), -1);
            }
        }
    }

    /**
     * Records what the requests of a peer hold instead of what it reported before.
     *
     * @param silenceMillis time for which the report counts unless the peer sends another
     */
    public void updatePeer(String name, PrefixSketch reported, long silenceMillis, long nowMillis) {
        removePeer(name);
        if (reported.isEmpty()) {
            return;
        }
        Map<Integer, Map<Integer, Integer>> counted = new HashMap<>();
        reported.holders().forEach((prefix, engines) -> {
            if (hasRoom(prefix)) {
                counted.put(prefix, engines);
                engines.forEach((engine, from) -> add(prefix, engine, from, 1));
            }
        });
        var unused = peers.put(name, new PrefixSketch(counted), silenceMillis, nowMillis);
    }

    /** Removes what a peer has reported. */
    public void removePeer(String name) {
        peers.remove(name).ifPresent(this::subtract);
    }

    /**
     * Removes the reports that have expired.
     *
     * @param lagMillis how late this process is; updates may have been waiting unread for that time
     */
    public void removeSilentPeers(long lagMillis, long nowMillis) {
        peers.removeSilent(lagMillis, nowMillis).forEach(this::subtract);
    }

    private void subtract(PrefixSketch counted) {
        counted.holders()
                .forEach((prefix, engines) -> engines.forEach((engine, from) -> add(prefix, engine, from, -1)));
    }

    private boolean hasRoom(int prefix) {
        return holders.size() < maxPrefixes || holders.containsKey(prefix);
    }

    private void add(int prefix, int engine, int from, int count) {
        Map<Integer, TreeMap<Integer, Integer>> engines = holders.computeIfAbsent(prefix, any -> new HashMap<>());
        TreeMap<Integer, Integer> counts = engines.computeIfAbsent(engine, any -> new TreeMap<>());
        counts.merge(from, count, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        if (counts.isEmpty()) {
            engines.remove(engine);
        }
        if (engines.isEmpty()) {
            holders.remove(prefix);
        }
    }

    /** Number of beginnings that are tracked. */
    public int size() {
        return holders.size();
    }

    /** Time since the oldest report of a peer that counts was received, in milliseconds; 0 if there is none. */
    public long oldestAgeMillis(long nowMillis) {
        return peers.oldestAgeMillis(nowMillis);
    }

    /** Number of leading parts that an engine holds for its last layers, from any layer on. */
    int heldLevels(PromptPrefix prefix, BackendServerId engine) {
        return heldLevels(prefix, engine, Integer.MAX_VALUE);
    }

    /** Number of leading parts that all engines of a path hold for the layers that they run. */
    int heldLevels(PromptPrefix prefix, StagePath path) {
        int levels = prefix.levels();
        for (Hop hop : path.hops()) {
            levels = Math.min(levels, heldLevels(prefix, hop.server().id(), hop.from()));
        }
        return levels;
    }

    private int heldLevels(PromptPrefix prefix, BackendServerId engine, int from) {
        int hash = hash(engine);
        for (int level = prefix.levels(); level > 0; level--) {
            TreeMap<Integer, Integer> counts =
                    holders.getOrDefault(prefix.hash(level), Map.of()).get(hash);
            if (counts != null && counts.firstKey() <= from) {
                return level;
            }
        }
        return 0;
    }

    /** What to tell the peers now: the beginnings of the own requests that are expected to save them most. */
    public PrefixSketch sketch(long nowMillis) {
        if (changed && nowMillis - sketchMillis >= SKETCH_VALID_MILLIS) {
            changed = false;
            sketchMillis = nowMillis;
            sketch = buildSketch();
        }
        return sketch;
    }

    private PrefixSketch buildSketch() {
        Map<Integer, Integer> requests = new HashMap<>();
        record Item(int prefix, int tokens, StagePath path) {}
        List<Item> items = new ArrayList<>();
        for (Hold hold : ownHolds) {
            for (int level = 1; level <= hold.levels; level++) {
                int prefix = hold.prefix.hash(level);
                requests.merge(prefix, 1, Integer::sum);
                items.add(new Item(prefix, hold.prefix.tokens(level), hold.path));
            }
        }
        Collections.reverse(items); // among equally useful ones, the latest requests run longest
        items.sort(Comparator.comparingLong((Item item) ->
                        -(long) item.tokens() * Math.min(MAX_COUNTED_REQUESTS, requests.get(item.prefix())))
                .thenComparingInt(Item::prefix));
        PrefixSketch.Builder builder = new PrefixSketch.Builder();
        items.stream().limit(MAX_SKETCH_ITEMS).forEach(item -> builder.add(item.prefix(), item.path()));
        return builder.build();
    }
}
