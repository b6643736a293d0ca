package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

    /**
     * What is decided for a request. Immutable.
     *
     * @param server the server that receives it; empty if there is none, or if the request waits for a slot
     * @param shared whether the service is shared by so many gateways that a part of the choice is random
     * @param slotWait the wait for a slot; empty if the request does not wait
     */
    record Choice(Optional<BackendServer> server, boolean shared, Optional<SlotWait> slotWait) {
        /** Records in the request whether it waits for a slot; true if it did not wait before and does now. */
        boolean applyTo(ActiveRequest request, long now) {
            if (shared && slotWait.isEmpty()) {
                request.endSlotWait();
            }
            return slotWait.filter(slot -> request.startSlotWait(now, slot.maxMillis(), slot.slotMillis()))
                    .isPresent();
        }
    }

    /**
     * A wait for a slot. Immutable.
     *
     * @param servers number of usable servers
     * @param slotMillis time until a slot is expected to be free
     * @param maxMillis longest wait
     */
    record SlotWait(int servers, long slotMillis, long maxMillis) {}

    /** The best server now; empty if there is none, or if the request waits for a slot. */
    Optional<BackendServer> choose(ActiveRequest request, Set<BackendServerId> excluded, long now) {
        Choice choice = decide(request, excluded, random, now);
        if (choice.applyTo(request, now)) {
            SlotWait wait = choice.slotWait().orElseThrow();
            routingLog.slotWaitStarted(request, wait.servers(), wait.slotMillis(), wait.maxMillis());
        }
        return choice.server();
    }

    /** Decides for a request; changes no state but that of the random generator. */
    Choice decide(ActiveRequest request, Set<BackendServerId> excluded, RandomGenerator generator, long now) {
        Set<BackendServerId> avoided = avoided(request, excluded);
        List<BackendServer> servers = fleet.usableServers(request.service(), now);
        if (!isShared(servers)) {
            return new Choice(fleet.plainServers().choose(servers, avoided, home), false, Optional.empty());
        }
        Optional<SlotWait> wait = slotWait(request, servers, avoided, now);
        Optional<BackendServer> server = wait.isPresent()
                ? Optional.empty()
                : fleet.sharedServers().choose(servers, avoided, situation(now), generator);
        return new Choice(server, true, wait);
    }

    private boolean isShared(List<BackendServer> servers) {
        return fleet.reportsDemand() && SharedServerSelector.applies(servers, fleet.gatewayCount());
    }

    private SharedServerSelector.Situation situation(long now) {
        return new SharedServerSelector.Situation(home, fleet::plainPeersInFlight, now);
    }

    /** Expected costs of the servers among which {@link #decide} chooses, in milliseconds. */
    Map<BackendServerId, Double> costs(ActiveRequest request, Set<BackendServerId> excluded, long now) {
        Set<BackendServerId> avoided = avoided(request, excluded);
        List<BackendServer> servers = fleet.usableServers(request.service(), now);
        if (isShared(servers)) {
            return fleet.sharedServers().costs(servers, avoided, situation(now));
        }
        Map<BackendServerId, Double> costs = new HashMap<>();
        servers.stream()
                .filter(server -> !avoided.contains(server.id()))
                .forEach(server -> costs.put(server.id(), fleet.plainServers().cost(server, home)));
        return costs;
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

    private Optional<SlotWait> slotWait(
            ActiveRequest request, List<BackendServer> servers, Set<BackendServerId> avoided, long now) {
        boolean unsafe = request.route().kind() == RouteKind.UNSAFE;
        if (!unsafe || request.possibleRunCount() > 0) {
            return Optional.empty();
        }
        long maxMillis = request.remainingSlotWaitMillis(request.route().targetMillis() / TARGET_SHARE, now);
        OptionalLong slot = fleet.sharedServers().millisUntilSlot(servers, avoided, now);
        boolean waits = slot.isPresent()
                && (request.isAwaitingSlot() || SharedServerSelector.isWaitUseful(slot.getAsLong(), maxMillis));
        return waits ? Optional.of(new SlotWait(servers.size(), slot.getAsLong(), maxMillis)) : Optional.empty();
    }
}
