package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;

/**
 * A snapshot of the router's state of the backend servers, for other threads. Immutable, safe for use by any thread.
 *
 * @param servers the registered servers
 * @param suspects servers that have failed recently
 * @param storeAvailable whether the store answered the last call
 * @param initialised whether the registrations have been read at least once
 * @param arrivals requests per second by service and data centre; empty unless gateways report demand
 * @param slowdowns how many times longer than usual engines take; those at their usual pace are not listed
 */
public record FleetView(
        List<BackendServer> servers,
        Set<BackendServerId> suspects,
        boolean storeAvailable,
        boolean initialised,
        Map<ServiceName, Map<DataCentre, Double>> arrivals,
        Map<BackendServerId, Double> slowdowns) {
    /** The view before any registration has been read. */
    public static final FleetView EMPTY = new FleetView(List.of(), Set.of(), false, false);

    public FleetView {
        servers = List.copyOf(servers);
        suspects = Set.copyOf(suspects);
        arrivals = Map.copyOf(arrivals);
        slowdowns = Map.copyOf(slowdowns);
    }

    /** Creates a view without reports of demand. */
    public FleetView(
            List<BackendServer> servers, Set<BackendServerId> suspects, boolean storeAvailable, boolean initialised) {
        this(servers, suspects, storeAvailable, initialised, Map.of(), Map.of());
    }
}
