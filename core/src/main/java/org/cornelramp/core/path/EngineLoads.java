package org.cornelramp.core.path;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * What this process has under way on each engine, and how slow each was last seen to be. Owned by one thread.
 *
 * <p>Invariant: every path that is added is removed once, with the same tokens.
 */
public final class EngineLoads {
    private static final Load NONE = new Load(0, 0, 0);

    private final Map<BackendServerId, Load> loads = new HashMap<>();
    private final Map<BackendServerId, Double> paces = new HashMap<>();

    /**
     * Load of one engine. Immutable, safe for use by any thread.
     *
     * @param requests requests that pass it
     * @param asFirst those of them that were sent to it
     * @param tokenLayers tokens times layers that they take
     */
    public record Load(int requests, int asFirst, long tokenLayers) {}

    /** Adds a request. */
    public void add(StagePath path, int tokens) {
        change(path, tokens, 1);
    }

    /** Removes a request. */
    public void remove(StagePath path, int tokens) {
        change(path, tokens, -1);
    }

    private void change(StagePath path, int tokens, int sign) {
        for (Hop hop : path.hops()) {
            int first = hop.from() == 0 ? sign : 0;
            long tokenLayers = (long) sign * tokens * hop.layers();
            loads.merge(hop.server().id(), new Load(sign, first, tokenLayers), EngineLoads::sum);
        }
    }

    private static Load sum(Load a, Load b) {
        Load sum = new Load(
                a.requests() + b.requests(), a.asFirst() + b.asFirst(), a.tokenLayers() + b.tokenLayers());
        return sum.requests() == 0 ? null : sum;
    }

    /** Load of an engine. */
    public Load load(BackendServerId id) {
        return loads.getOrDefault(id, NONE);
    }

    /** How many times longer than usual the engine takes, as last told; 1 if it never told. */
    public double pace(BackendServerId id) {
        return paces.getOrDefault(id, 1.0);
    }

    /** Notes how many times longer than usual an engine takes. */
    public void setPace(BackendServerId id, double pace) {
        paces.put(id, pace);
    }

    /** Forgets the pace of engines that nobody knows any more. */
    public void retain(Predicate<BackendServerId> known) {
        paces.keySet().removeIf(id -> !known.test(id));
    }
}
