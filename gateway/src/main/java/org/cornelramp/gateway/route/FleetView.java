package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;

/**
 * A snapshot of the router's state of the backend servers, for other threads. Immutable, safe for use by any thread.
 *
 * @param servers the registered servers
 * @param suspects servers that have failed recently
 * @param storeAvailable whether the store answered the last call
 * @param initialised whether the registrations have been read at least once
 */
public record FleetView(
        List<BackendServer> servers, Set<BackendServerId> suspects, boolean storeAvailable, boolean initialised) {
    /** The view before any registration has been read. */
    public static final FleetView EMPTY = new FleetView(List.of(), Set.of(), false, false);

    public FleetView {
        servers = List.copyOf(servers);
        suspects = Set.copyOf(suspects);
    }
}
