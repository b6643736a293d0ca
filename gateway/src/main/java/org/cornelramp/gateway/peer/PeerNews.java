package org.cornelramp.gateway.peer;

import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineLoads;

/**
 * What one gateway tells its peers. Immutable, safe for use by any thread.
 *
 * @param name the gateway
 * @param life tells its lives apart
 * @param number grows with each news of a life; an older one that comes late is ignored
 * @param term term in which it leads; negative if it does not
 * @param leaving whether it is stopping
 * @param loads what it has under way on each engine
 * @param crossings hops to another data centre of all that it has under way
 * @param paces how many times longer than usual engines take, where it is not once
 * @param suspects servers that it has seen fail since its last news or just before
 */
public record PeerNews(
        String name,
        long life,
        long number,
        long term,
        boolean leaving,
        Map<BackendServerId, EngineLoads.Load> loads,
        int crossings,
        Map<BackendServerId, Double> paces,
        Set<BackendServerId> suspects) {

    public PeerNews {
        loads = Map.copyOf(loads);
        paces = Map.copyOf(paces);
        suspects = Set.copyOf(suspects);
    }

    /** The same news without what does not fit into one datagram. */
    PeerNews withoutLoads() {
        return new PeerNews(name, life, number, term, leaving, Map.of(), crossings, paces, suspects);
    }
}
