package org.cornelramp.core.path;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * What this process and its peers have under way on each engine, and how slow each was last seen to be. Owned by one
 * thread.
 *
 * <p>Invariant: every path that is added is removed once, with the same tokens.
 */
public final class EngineLoads {
    private static final Load NONE = new Load(0, 0, 0, 0);

    /** Age up to which a pace is believed; a slow engine is avoided, so nobody would notice its recovery. */
    private static final long PACE_MILLIS = 4_000;

    private final Map<BackendServerId, Load> loads = new HashMap<>();

    /** Own loads and those of all peers: asked for each engine for each request, while news come a few times a second. */
    private final Map<BackendServerId, Load> total = new HashMap<>();

    /** Weight of the newest request in the share of failures: about the last ten count. */
    private static final double NEWEST = 0.1;

    private final Map<BackendServerId, Double> failures = new HashMap<>();
    private final Map<String, News> peers = new HashMap<>();
    private final Map<BackendServerId, Pace> paces = new HashMap<>();
    private int ownCrossings;

    /**
     * Load of one engine. Immutable, safe for use by any thread.
     *
     * @param requests requests that pass it
     * @param asFirstEngine those of them that were sent to it
     * @param tokenLayers tokens times layers that they take
     * @param pendingPromptTokens prompt tokens of those whose first event has not come
     */
    public record Load(int requests, int asFirstEngine, long tokenLayers, int pendingPromptTokens) {
        Load plus(Load other) {
            return new Load(
                    requests + other.requests,
                    asFirstEngine + other.asFirstEngine,
                    tokenLayers + other.tokenLayers,
                    pendingPromptTokens + other.pendingPromptTokens);
        }

        Load negated() {
            return new Load(-requests, -asFirstEngine, -tokenLayers, -pendingPromptTokens);
        }
    }

    private record News(Map<BackendServerId, Load> loads, int crossings, long heardMillis) {}

    private record Pace(double factor, long heardMillis) {}

    /** Notes what a peer has under way; it counts until the next news, or until the peer falls silent. */
    public void updatePeer(String name, Map<BackendServerId, Load> underWay, int crossings, long nowMillis) {
        forget(peers.put(name, new News(Map.copyOf(underWay), crossings, nowMillis)));
        underWay.forEach(this::addToTotal);
    }

    /** Notes that a peer lives whose news did not tell what it has under way: what it told last still counts. */
    public void keepPeer(String name, int crossings, long nowMillis) {
        News last = peers.get(name);
        peers.put(name, new News(last == null ? Map.of() : last.loads(), crossings, nowMillis));
    }

    private void forget(News old) {
        if (old != null) {
            old.loads().forEach((id, load) -> addToTotal(id, load.negated()));
        }
    }

    private void addToTotal(BackendServerId id, Load load) {
        total.merge(id, load, EngineLoads::sum);
    }

    /** Forgets peers that have been silent for so long; what a dead process had under way has ended. */
    public void removeSilentPeers(long silenceMillis, long nowMillis) {
        peers.values().removeIf(news -> {
            boolean silent = nowMillis - news.heardMillis() > silenceMillis;
            forget(silent ? news : null);
            return silent;
        });
    }

    /** Number of peers heard of. */
    public int peerCount() {
        return peers.size();
    }

    /** Hops to another data centre of all requests under way, by this process and its peers. */
    public int crossings() {
        return ownCrossings + peers.values().stream().mapToInt(News::crossings).sum();
    }

    /** Hops to another data centre of this process's own requests under way. */
    public int ownCrossings() {
        return ownCrossings;
    }

    /** What this process itself has under way. */
    public Map<BackendServerId, Load> ownLoads() {
        return Map.copyOf(loads);
    }

    /** Adds a request. */
    public void add(StagePath path, int tokens) {
        change(path, tokens, 1);
    }

    /** Notes that the engines of a path have this many prompt tokens more to read, or fewer if negative. */
    public void addPendingPromptTokens(StagePath path, int tokens) {
        for (Hop hop : path.hops()) {
            addOwn(hop.server().id(), new Load(0, 0, 0, tokens));
        }
    }

    /** Removes a request. */
    public void remove(StagePath path, int tokens) {
        change(path, tokens, -1);
    }

    private void change(StagePath path, int tokens, int sign) {
        ownCrossings += sign * path.crossings();
        for (Hop hop : path.hops()) {
            int first = hop.from() == 0 ? sign : 0;
            long tokenLayers = (long) sign * tokens * hop.layers();
            addOwn(hop.server().id(), new Load(sign, first, tokenLayers, 0));
        }
    }

    private void addOwn(BackendServerId id, Load load) {
        loads.merge(id, load, EngineLoads::sum);
        addToTotal(id, load);
    }

    private static Load sum(Load a, Load b) {
        Load sum = a.plus(b);
        return sum.equals(NONE) ? null : sum;
    }

    /** Load of an engine, by this process and its peers. */
    public Load load(BackendServerId id) {
        return total.getOrDefault(id, NONE);
    }

    /** Notes whether an engine that a request was sent to broke it off by itself. */
    public void recordOutcome(BackendServerId first, boolean failed) {
        double before = failures.getOrDefault(first, 0.0);
        double after = before + NEWEST * ((failed ? 1 : 0) - before);
        if (failed || after > NEWEST / 2) {
            failures.put(first, after);
        } else {
            failures.remove(first);
        }
    }

    /** Share of the last requests sent to the engine that it broke off by itself, from 0 to 1. */
    public double failureShare(BackendServerId first) {
        return failures.getOrDefault(first, 0.0);
    }

    /** How many times longer than usual the engine takes, as last told; 1 if it has not told lately. */
    public double slowdown(BackendServerId id) {
        Pace pace = paces.get(id);
        return pace == null ? 1 : pace.factor();
    }

    /** Notes how many times longer than usual an engine takes. */
    public void setSlowdown(BackendServerId id, double factor, long nowMillis) {
        paces.put(id, new Pace(factor, nowMillis));
    }

    /** The paces that are not usual. */
    public Map<BackendServerId, Double> slowdownFactors() {
        Map<BackendServerId, Double> unusual = new HashMap<>();
        paces.forEach((id, pace) -> {
            if (pace.factor() > 1) {
                unusual.put(id, pace.factor());
            }
        });
        return unusual;
    }

    /** Forgets paces that were told too long ago. */
    public void removeExpiredSlowdowns(long nowMillis) {
        paces.values().removeIf(pace -> nowMillis - pace.heardMillis() > PACE_MILLIS);
    }

    /** Forgets the pace and the failures of engines that nobody knows any more. */
    public void retain(Predicate<BackendServerId> known) {
        paces.keySet().removeIf(id -> !known.test(id));
        failures.keySet().removeIf(id -> !known.test(id));
    }
}
