package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The peers that get updates in addition to those that the store lists. Confined to one thread.
 *
 * <p>Invariant: only a peer that has sent an update itself is introduced to others. If peers known only by introduction
 * were introduced further, the addresses of dead gateways would circulate forever, and each round would send to more of
 * them.
 *
 * @param <T> type of an address
 */
final class PeerDirectory<T> {
    /**
     * Time for which a peer gets updates after it has sent one or was introduced, in milliseconds. A gateway that the
     * store refuses drops out of the store's list while it still serves requests; without updates it would not know the
     * load that the other gateways cause, and would send its streams to the same engines.
     */
    static final long EXPIRY_MILLIS = 5_000;

    private final Map<T, Long> senders = new HashMap<>();
    private final Map<T, Long> introduced = new HashMap<>();

    /** Records that a peer has sent an update. */
    void addSender(T peer, long nowMillis) {
        senders.put(peer, nowMillis);
    }

    /** Records that another peer has introduced this one. */
    void addIntroduced(T peer, long nowMillis) {
        introduced.put(peer, nowMillis);
    }

    /** The peers to send updates to, including those that the store lists. */
    Set<T> recipients(Collection<T> listed, long nowMillis) {
        expire(nowMillis);
        Set<T> recipients = new HashSet<>(listed);
        recipients.addAll(senders.keySet());
        recipients.addAll(introduced.keySet());
        return recipients;
    }

    /** The peers to introduce to others. */
    Set<T> peersToIntroduce(long nowMillis) {
        expire(nowMillis);
        return Set.copyOf(senders.keySet());
    }

    private void expire(long nowMillis) {
        senders.values().removeIf(at -> nowMillis - at > EXPIRY_MILLIS);
        introduced.values().removeIf(at -> nowMillis - at > EXPIRY_MILLIS);
    }
}
