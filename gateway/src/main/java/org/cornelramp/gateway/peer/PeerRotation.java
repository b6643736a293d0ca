package org.cornelramp.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Selects the peers that get an update in each round. Confined to one thread.
 *
 * <p>If each gateway sent to every other one in each round, a fleet of n gateways would send n² datagrams per round:
 * with 28 gateways, each received 225 datagrams per second, on machines with a quarter of a core. So each round goes to
 * a few peers in rotation. The cost per gateway then does not grow with the fleet; instead, its loads become known a
 * few rounds later.
 */
public final class PeerRotation {
    /** Time between two rounds, in milliseconds: a tenth of the time in which load changes noticeably. */
    public static final int ROUND_MILLIS = 120;

    /** Maximum number of peers per round; in deployments of up to nine gateways each round goes to all peers. */
    public static final int MAX_PEERS_PER_ROUND = 8;

    /**
     * Maximum number of peers per round of the gateway that reads the store for all. It bounds the cost of that one
     * machine in fleets of hundreds; peers that it does not reach often enough read the store themselves.
     */
    private static final int MAX_PEERS_PER_ROUND_OF_READER = 32;

    /** Turns that a peer may miss because of lost datagrams before it counts as dead or disconnected. */
    private static final int MAX_MISSED_TURNS = 4;

    /**
     * Minimum silence after which a peer counts as dead, in milliseconds: a stalled machine often recovers within a
     * second.
     */
    private static final long MIN_SILENCE_MILLIS = 1_000;

    private int next;

    /**
     * Selects the peers of the next round.
     *
     * @param urgent whether all peers must get the update at once, such as that of a server that has just failed
     * @param readsForAll whether this gateway reads the store for all
     */
    public <T> List<T> select(Collection<T> peers, boolean urgent, boolean readsForAll) {
        List<T> all = List.copyOf(peers);
        int maxPeers = readsForAll ? MAX_PEERS_PER_ROUND_OF_READER : MAX_PEERS_PER_ROUND;
        if (urgent || all.size() <= maxPeers) {
            return all;
        }
        List<T> selected = new ArrayList<>(maxPeers);
        for (int i = 0; i < maxPeers; i++) {
            selected.add(all.get((next + i) % all.size()));
        }
        next = (next + maxPeers) % all.size();
        return selected;
    }

    /** Rounds in which each peer of a fleet with that many peers gets its turn. */
    static int roundsToAll(int peers) {
        return (peers + MAX_PEERS_PER_ROUND - 1) / MAX_PEERS_PER_ROUND;
    }

    /** Silence after which a peer counts as dead or disconnected in a fleet with that many peers, in milliseconds. */
    public static long silenceMillis(int peers) {
        return silenceMillisOfInterval(roundsToAll(peers));
    }

    /** Silence after which a sender with that many rounds between two messages counts as dead, in milliseconds. */
    static long silenceMillisOfInterval(int rounds) {
        return Math.max(MIN_SILENCE_MILLIS, (long) MAX_MISSED_TURNS * rounds * ROUND_MILLIS);
    }
}
