package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.DataCentre;

/**
 * Tracks the data centres of the peers, and decides which of them get the loads of this gateway. Confined to one
 * thread.
 *
 * <p>Loads make up most of the bytes of an update. A gateway sends its streams to the engines of its own data centre
 * while those have capacity, so peers there need its loads in each update. Peers elsewhere need them only when their
 * own engines are full or dead, and loads that are a second old suffice for that. Sent to all peers each time, the
 * loads of 33 gateways were most of the traffic between data centres.
 *
 * @param <T> type of an address
 */
final class PeerLocations<T> {
    /** A peer in another data centre gets the loads in one out of this many updates. */
    static final int REMOTE_UPDATES_PER_LOADS = 3;

    private final DataCentre localDataCentre;
    private final Map<T, DataCentre> locations = new HashMap<>();
    private final Map<T, Integer> updatesSent = new HashMap<>();

    /** @param localDataCentre the data centre of this gateway */
    PeerLocations(DataCentre localDataCentre) {
        this.localDataCentre = localDataCentre;
    }

    /** Records the data centre of a peer. */
    void setLocation(T peer, DataCentre dataCentre) {
        locations.put(peer, dataCentre);
    }

    /** Removes all other peers. */
    void retain(Collection<T> peers) {
        locations.keySet().retainAll(peers);
        updatesSent.keySet().retainAll(peers);
    }

    /**
     * Whether the next update to a peer includes the loads; each call counts as an update. A peer of unknown location
     * gets them.
     */
    boolean needsLoads(T peer) {
        int update = updatesSent.merge(peer, 1, Integer::sum);
        return locations.getOrDefault(peer, localDataCentre).equals(localDataCentre)
                || update % REMOTE_UPDATES_PER_LOADS == 1;
    }
}
