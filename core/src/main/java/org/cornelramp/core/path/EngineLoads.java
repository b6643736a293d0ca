package org.cornelramp.core.path;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * Load that the requests of this process and its peers put on each engine, and the last known slowdown and share of
 * failures of each engine. Owned by one thread.
 *
 * <p>Invariant: every path that is added is removed once, with the same tokens.
 */
public final class EngineLoads {
    private static final Load NO_LOAD = new Load(0, 0, 0, 0);

    /** Age at which a slowdown expires: a slow engine is avoided, so no new measurement would show its recovery. */
    private static final long SLOWDOWN_VALID_MILLIS = 4_000;

    private final Map<BackendServerId, Load> ownLoads = new HashMap<>();

    /** Sum of the own loads and those of all peers; read for each engine and request, updated a few times a second. */
    private final Map<BackendServerId, Load> total = new HashMap<>();

    /** Weight of the latest request in the moving average of failures, which covers about the last ten. */
    private static final double LATEST_REQUEST_WEIGHT = 0.1;

    private final Map<BackendServerId, Double> failureShares = new HashMap<>();
    private final Map<String, PeerLoads> peers = new HashMap<>();
    private final Map<BackendServerId, Slowdown> slowdowns = new HashMap<>();
    private int ownCrossings;

    /**
     * Load of one engine. Immutable, safe for use by any thread.
     *
     * @param requests requests whose path contains the engine
     * @param asFirstEngine those of them for which it is the first engine
     * @param tokenLayers tokens times layers that the requests occupy in its memory
     * @param pendingPromptTokens prompt tokens of the requests whose first event has not arrived
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

    private record PeerLoads(Map<BackendServerId, Load> loads, int crossings, long receivedMillis) {}

    private record Slowdown(double factor, long receivedMillis) {}

    /** Records the loads of a peer; they count until its next update or until {@link #removeSilentPeers}. */
    public void updatePeer(String name, Map<BackendServerId, Load> peerLoads, int crossings, long nowMillis) {
        subtractFromTotal(peers.put(name, new PeerLoads(Map.copyOf(peerLoads), crossings, nowMillis)));
        peerLoads.forEach(this::addToTotal);
    }

    /** Records an update of a peer that carries no loads: the peer is alive, and its last loads still count. */
    public void keepPeer(String name, int crossings, long nowMillis) {
        PeerLoads previous = peers.get(name);
        peers.put(name, new PeerLoads(previous == null ? Map.of() : previous.loads(), crossings, nowMillis));
    }

    private void subtractFromTotal(PeerLoads previous) {
        if (previous != null) {
            previous.loads().forEach((id, load) -> addToTotal(id, load.negated()));
        }
    }

    private void addToTotal(BackendServerId id, Load load) {
        total.merge(id, load, EngineLoads::sum);
    }

    /** Removes peers without an update for longer than the given time: the requests of a dead process have ended. */
    public void removeSilentPeers(long silenceMillis, long nowMillis) {
        peers.values().removeIf(update -> {
            boolean silent = nowMillis - update.receivedMillis() > silenceMillis;
            subtractFromTotal(silent ? update : null);
            return silent;
        });
    }

    /** Returns the number of peers whose last update has not expired. */
    public int peerCount() {
        return peers.size();
    }

    /** Returns the time since the oldest update of a peer that counts, in milliseconds; 0 without peers. */
    public long oldestAgeMillis(long nowMillis) {
        return peers.values().stream()
                .mapToLong(update -> nowMillis - update.receivedMillis())
                .max()
                .orElse(0);
    }

    /** Returns the hops to another data centre of all requests in progress at this process and its peers. */
    public int crossings() {
        return ownCrossings
                + peers.values().stream().mapToInt(PeerLoads::crossings).sum();
    }

    /** Returns the hops to another data centre of this process's own requests in progress. */
    public int ownCrossings() {
        return ownCrossings;
    }

    /** Returns the loads by this process's own requests. */
    public Map<BackendServerId, Load> ownLoads() {
        return Map.copyOf(ownLoads);
    }

    /**
     * Adds the load of an own request.
     *
     * @param tokens expected tokens of prompt and answer
     */
    public void add(StagePath path, int tokens) {
        changeOwn(path, tokens, 1);
    }

    /** Adds prompt tokens that the engines of a path still have to read; a negative number removes them. */
    public void addPendingPromptTokens(StagePath path, int tokens) {
        for (Hop hop : path.hops()) {
            addOwn(hop.server().id(), new Load(0, 0, 0, tokens));
        }
    }

    /** Removes the load of an own request; {@code tokens} as it was added. */
    public void remove(StagePath path, int tokens) {
        changeOwn(path, tokens, -1);
    }

    private void changeOwn(StagePath path, int tokens, int sign) {
        ownCrossings += sign * path.crossings();
        for (Hop hop : path.hops()) {
            int first = hop.from() == 0 ? sign : 0;
            long tokenLayers = (long) sign * tokens * hop.layers();
            addOwn(hop.server().id(), new Load(sign, first, tokenLayers, 0));
        }
    }

    private void addOwn(BackendServerId id, Load load) {
        ownLoads.merge(id, load, EngineLoads::sum);
        addToTotal(id, load);
    }

    private static Load sum(Load a, Load b) {
        Load sum = a.plus(b);
        return sum.equals(NO_LOAD) ? null : sum;
    }

    /** Returns the load of an engine by this process and its peers. */
    public Load load(BackendServerId id) {
        return total.getOrDefault(id, NO_LOAD);
    }

    /** Records whether the first engine of a path broke off the request by itself. */
    public void recordOutcome(BackendServerId first, boolean failed) {
        double before = failureShares.getOrDefault(first, 0.0);
        double after = before + LATEST_REQUEST_WEIGHT * ((failed ? 1 : 0) - before);
        if (failed || after > LATEST_REQUEST_WEIGHT / 2) {
            failureShares.put(first, after);
        } else {
            failureShares.remove(first);
        }
    }

    /** Returns the share of the latest requests sent to the engine that it broke off by itself, from 0 to 1. */
    public double failureShare(BackendServerId first) {
        return failureShares.getOrDefault(first, 0.0);
    }

    /** Returns how many times longer than usual the engine takes, as last reported; 1 if there is no recent report. */
    public double slowdown(BackendServerId id) {
        Slowdown last = slowdowns.get(id);
        return last == null ? 1 : last.factor();
    }

    /** Records how many times longer than usual an engine takes. */
    public void setSlowdown(BackendServerId id, double factor, long nowMillis) {
        slowdowns.put(id, new Slowdown(factor, nowMillis));
    }

    /** Returns the factors of the engines that take longer than usual. */
    public Map<BackendServerId, Double> slowdownFactors() {
        Map<BackendServerId, Double> unusual = new HashMap<>();
        slowdowns.forEach((id, slowdown) -> {
            if (slowdown.factor() > 1) {
                unusual.put(id, slowdown.factor());
            }
        });
        return unusual;
    }

    /** Removes the slowdowns that have expired. */
    public void removeExpiredSlowdowns(long nowMillis) {
        slowdowns.values().removeIf(slowdown -> nowMillis - slowdown.receivedMillis() > SLOWDOWN_VALID_MILLIS);
    }

    /** Removes the slowdowns and failures of engines that are no longer known. */
    public void retain(Predicate<BackendServerId> known) {
        slowdowns.keySet().removeIf(id -> !known.test(id));
        failureShares.keySet().removeIf(id -> !known.test(id));
    }
}
