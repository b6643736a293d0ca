package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The peers that are told the news besides those that the store lists. Owned by one thread.
 *
 * <p>Invariant: only a peer that was heard itself is introduced to others. If one that was merely introduced were passed
 * on, the address of a dead gateway would go round among the living for good, and each round would be spent on more of
 * them.
 *
 * @param <T> an address
 */
final class PeerBook<T> {
    /**
     * How long a gateway that tells its news, or was introduced, is told ours. One that the store turns away drops out of
     * its list while it serves on; without our news it would send its streams where all others do.
     */
    static final long TOLD_MILLIS = 5_000;

    private final Map<T, Long> heard = new HashMap<>();
    private final Map<T, Long> introduced = new HashMap<>();

    /** Notes that a peer has told its news. */
    void heard(T peer, long nowMillis) {
        heard.put(peer, nowMillis);
    }

    /** Notes that another peer has heard this one. */
    void introduced(T peer, long nowMillis) {
        introduced.put(peer, nowMillis);
    }

    /** Whom to tell the news, with those that the store lists. */
    Set<T> toTell(Collection<T> listed, long nowMillis) {
        forget(nowMillis);
        Set<T> all = new HashSet<>(listed);
        all.addAll(heard.keySet());
        all.addAll(introduced.keySet());
        return all;
    }

    /** Whom to introduce to others. */
    Set<T> toIntroduce(long nowMillis) {
        forget(nowMillis);
        return Set.copyOf(heard.keySet());
    }

    private void forget(long nowMillis) {
        heard.values().removeIf(at -> nowMillis - at > TOLD_MILLIS);
        introduced.values().removeIf(at -> nowMillis - at > TOLD_MILLIS);
    }
}
