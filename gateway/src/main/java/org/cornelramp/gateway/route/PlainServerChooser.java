package org.cornelramp.gateway.route;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.SharedServerSelector;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.routing.RouteKind;

/**
 * Chooses the server for a request to a plain service, and decides whether an unsafe request waits because all servers
 * are known to be full. Confined to the router's thread.
 *
 * <p>Invariant: a request waits only before it may have run, and its whole wait is at most a quarter of its target,
 * apart from the time until the next tick.
 */
final class PlainServerChooser {
    /** Divisor of the target that gives the longest wait for a slot. */
    private static final int TARGET_SHARE = 4;

    private final FleetState fleet;
    private final DataCentre home;
    private final RandomGenerator random;
    private final RoutingLog routingLog;

    /** @param home data centre of this gateway */
    PlainServerChooser(FleetState fleet, DataCentre home, RandomGenerator random, RoutingLog routingLog) {
        this.fleet = fleet;
        this.home = home;
        this.random = random;
        this.routingLog = routingLog;
    }

    /** The best server now; empty if there is none, or if the request waits for a slot. */
    Optional<BackendServer> choose(ActiveRequest request, Set<BackendServerId> excluded, long now) {
        Set<BackendServerId> avoided = avoided(request, excluded);
        List<BackendServer> servers = fleet.usableServers(request.service(), now);
        if (!fleet.reportsDemand() || !SharedServerSelector.applies(servers, fleet.gatewayCount())) {
            return fleet.plainServers().choose(servers, avoided, home);
        }
        if (shouldWait(request, servers, avoided, now)) {
            return Optional.empty();
        }
        return fleet.sharedServers()
                .choose(
                        servers,
                        avoided,
                        new SharedServerSelector.Situation(home, fleet::plainPeersInFlight, now),
                        random);
    }

    /** Whether any server can be chosen; does not change the state of the request. */
    boolean hasServer(ActiveRequest request, Set<BackendServerId> excluded, long now) {
        Set<BackendServerId> avoided = avoided(request, excluded);
        return fleet.usableServers(request.service(), now).stream().anyMatch(server -> !avoided.contains(server.id()));
    }

    private static Set<BackendServerId> avoided(ActiveRequest request, Set<BackendServerId> excluded) {
        Set<BackendServerId> avoided = new HashSet<>(request.avoidedServers());
        avoided.addAll(excluded);
        return avoided;
    }

    private boolean shouldWait(
            ActiveRequest request, List<BackendServer> servers, Set<BackendServerId> avoided, long now) {
        boolean unsafe = request.route().kind() == RouteKind.UNSAFE;
        if (!unsafe || request.possibleRunCount() > 0) {
            return false;
        }
        long maxMillis = request.remainingSlotWaitMillis(request.route().targetMillis() / TARGET_SHARE, now);
        OptionalLong slot = fleet.sharedServers().millisUntilSlot(servers, avoided, now);
        boolean waits = slot.isPresent()
                && (request.isAwaitingSlot() || SharedServerSelector.isWaitUseful(slot.getAsLong(), maxMillis));
        if (!waits) {
            request.endSlotWait();
        } else if (request.startSlotWait(now, maxMillis, slot.getAsLong())) {
            routingLog.slotWaitStarted(request, servers.size(), slot.getAsLong(), maxMillis);
        }
        return waits;
    }
}
