package org.cornelramp.gateway.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Peers that have asked for something, which are told the news of the next rounds out of their turn. With dozens of
 * gateways a turn comes every half a second, and callers wait for what the peer asked for. Owned by one thread.
 */
final class Askers<T> {
    /** Rounds in which an asker is told: the router may answer an ask just after the next round's news are made. */
    static final int ROUNDS = 2;

    private final Map<T, Integer> roundsLeft = new HashMap<>();

    /** Notes that a peer has asked. */
    void add(T peer) {
        roundsLeft.put(peer, ROUNDS);
    }

    /** The peers to tell in this round, whosever turn it is. */
    Set<T> take() {
        Set<T> now = Set.copyOf(roundsLeft.keySet());
        roundsLeft.replaceAll((peer, left) -> left - 1);
        roundsLeft.values().removeIf(left -> left <= 0);
        return now;
    }
}
