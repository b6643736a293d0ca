package org.cornelramp.core.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.DataCentre;

/**
 * The last status that each peer has reported. Owned by one thread.
 *
 * <p>Invariant: at most one status is kept for each peer, and only until it falls silent.
 */
public final class GatewayStatuses {
    private final Map<String, PeerStatus> peers = new HashMap<>();

    /**
     * The status of a peer. Immutable, safe for use by any thread.
     *
     * @param name name of the peer
     * @param dataCentre where the peer runs
     * @param status what it has reported
     * @param receivedMillis when its report was received, on the steady clock
     * @param silenceMillis time for which the status counts unless the peer sends another
     */
    public record PeerStatus(
            String name, DataCentre dataCentre, GatewayStatus status, long receivedMillis, long silenceMillis) {
        /** Time since the report was received, in milliseconds. */
        public long ageMillis(long nowMillis) {
            return nowMillis - receivedMillis;
        }
    }

    /** Records the status of a peer, which replaces its previous one. */
    public void update(PeerStatus status) {
        peers.put(status.name(), status);
    }

    /** Removes the status of a peer, which has ceased to report one. */
    public void remove(String name) {
        peers.remove(name);
    }

    /**
     * Removes the peers whose statuses have expired.
     *
     * @param lagMillis how late this process is; updates may have been waiting unread for that time
     */
    public void removeSilentPeers(long lagMillis, long nowMillis) {
        peers.values().removeIf(peer -> peer.ageMillis(nowMillis) > peer.silenceMillis() + lagMillis);
    }

    /** The status of a peer. */
    public Optional<PeerStatus> status(String name) {
        return Optional.ofNullable(peers.get(name));
    }

    /** The statuses of the peers in a data centre, in no particular order. */
    public List<PeerStatus> inDataCentre(DataCentre dataCentre) {
        return peers.values().stream()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .toList();
    }

    /** The statuses of all peers, in no particular order. */
    public List<PeerStatus> all() {
        return List.copyOf(peers.values());
    }
}
