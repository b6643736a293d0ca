package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.DataCentre;

/**
 * Where the peers are, and which of them hear what this gateway has under way. Owned by one thread.
 *
 * <p>Loads are most of the bytes of the news. A gateway sends its streams to the engines of its own data centre while those
 * have room, so peers there need its loads each time; peers elsewhere only when their own engines are full or dead, and a
 * second old will do for that. Told to everyone each time, the loads of 33 gateways were most of what crossed between data
 * centres.
 *
 * @param <T> an address
 */
final class PeerPlaces<T> {
    /** A peer of another data centre hears the loads each time that its turn has come so often. */
    static final int FAR_TURNS = 3;

    private final DataCentre home;
    private final Map<T, DataCentre> places = new HashMap<>();
    private final Map<T, Integer> turns = new HashMap<>();

    /** @param home where this gateway is */
    PeerPlaces(DataCentre home) {
        this.home = home;
    }

    /** Notes where a peer is. */
    void heard(T peer, DataCentre place) {
        places.put(peer, place);
    }

    /** Forgets all other peers. */
    void retain(Collection<T> peers) {
        places.keySet().retainAll(peers);
        turns.keySet().retainAll(peers);
    }

    /** Whether a peer hears the loads this time; each call is a turn. One that was not heard yet does. */
    boolean hearsLoads(T peer) {
        int turn = turns.merge(peer, 1, Integer::sum);
        return places.getOrDefault(peer, home).equals(home) || turn % FAR_TURNS == 1;
    }
}
