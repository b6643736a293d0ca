package org.cornelramp.core.member;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.DataCentre;

/**
 * The last status that each peer has reported. Owned by one thread.
 *
 * <p>Invariant: at most one status is kept for each peer, and only until it falls silent.
 */
public final class GatewayStatuses {
    private final PeerReports<Located> peers = new PeerReports<>();

    private record Located(DataCentre dataCentre, GatewayStatus status) {}

    /**
     * Records the status of a peer, which replaces its previous one.
     *
     * @param silenceMillis time for which the status counts unless the peer sends another, in milliseconds
     */
    public void update(String name, DataCentre dataCentre, GatewayStatus status, long silenceMillis, long nowMillis) {
        var unused = peers.put(name, new Located(dataCentre, status), silenceMillis, nowMillis);
    }

    /** Removes the status of a peer, which has ceased to report one. */
    public void remove(String name) {
        var unused = peers.remove(name);
    }

    /**
     * Removes the peers whose statuses have expired.
     *
     * @param lagMillis how late this process is; updates may have been waiting unread for that time
     */
    public void removeSilentPeers(long lagMillis, long nowMillis) {
        var unused = peers.removeSilent(lagMillis, nowMillis);
    }

    /** The status of a peer. */
    public Optional<GatewayStatus> status(String name) {
        return Optional.ofNullable(peers.all().get(name))
                .map(received -> received.report().status());
    }

    /** The statuses of the peers in a data centre, in no particular order. */
    public List<PeerStatus> inDataCentre(DataCentre dataCentre, long nowMillis) {
        return peers.all().entrySet().stream()
                .filter(peer -> peer.getValue().report().dataCentre().equals(dataCentre))
                .map(peer -> new PeerStatus(
                        peer.getKey(),
                        peer.getValue().report().status(),
                        peer.getValue().ageMillis(nowMillis)))
                .toList();
    }

    /** The statuses of all peers, in no particular order. */
    public List<GatewayStatus> all() {
        return peers.all().values().stream()
                .map(received -> received.report().status())
                .toList();
    }
}
