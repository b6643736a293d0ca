package org.cornelramp.gateway.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Peers that have made a request and therefore get the updates of the next rounds out of turn. With dozens of gateways
 * a peer's turn comes only every half a second, and callers are waiting for the result of the request. Confined to one
 * thread.
 */
final class PriorityPeers<T> {
    /**
     * Rounds in which a peer is included: the router may answer the request just after the next round's update is
     * built.
     */
    static final int ROUNDS = 2;

    private final Map<T, Integer> roundsLeft = new HashMap<>();

    /** Records that a peer has made a request. */
    void add(T peer) {
        roundsLeft.put(peer, ROUNDS);
    }

    /** Returns the peers to include in this round regardless of turns, and counts the round. */
    Set<T> nextRound() {
        Set<T> current = Set.copyOf(roundsLeft.keySet());
        roundsLeft.replaceAll((peer, left) -> left - 1);
        roundsLeft.values().removeIf(left -> left <= 0);
        return current;
    }
}
