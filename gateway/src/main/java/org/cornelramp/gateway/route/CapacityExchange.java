package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.member.PeerStatus;
import org.cornelramp.core.model.DataCentre;

/**
 * Passes the status of this gateway to the updates for its peers, and the statuses of its peers to the thread that
 * measures the load. Safe for use by any thread, except for {@link #refresh}, which the router's thread calls.
 *
 * <p>Invariant: statuses are reported only in a fleet with a small gateway, the own or that of a peer. In other fleets
 * the updates stay as they are.
 */
public final class CapacityExchange {
    private final DataCentre dataCentre;
    private volatile Supplier<Optional<GatewayStatus>> ownStatus = Optional::empty;
    private volatile double smallCores;
    private volatile List<PeerStatus> peers = List.of();

    CapacityExchange(DataCentre dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Sets where the status of this gateway comes from.
     *
     * @param cores capacity in cores below which a gateway is small
     */
    public void setOwnStatus(Supplier<GatewayStatus> status, double cores) {
        smallCores = cores;
        ownStatus = () -> Optional.of(status.get());
    }

    /** The last known statuses of the other gateways of the data centre. */
    public List<PeerStatus> peers() {
        return peers;
    }

    /** Brings both directions up to date. */
    void refresh(FleetState fleet, long nowMillis) {
        Optional<GatewayStatus> status = ownStatus.get();
        boolean used = status.isPresent() && (isSmall(status.get()) || hasSmallPeer(fleet));
        fleet.setDemandUse(FleetState.DemandUse.GATEWAY_LOAD, used);
        status.ifPresent(fleet::setOwnStatus);
        peers = used ? fleet.gatewayStatuses().inDataCentre(dataCentre, nowMillis) : List.of();
    }

    private boolean hasSmallPeer(FleetState fleet) {
        return fleet.gatewayStatuses().all().stream().anyMatch(this::isSmall);
    }

    private boolean isSmall(GatewayStatus status) {
        return status.capacityCores() < smallCores;
    }
}
