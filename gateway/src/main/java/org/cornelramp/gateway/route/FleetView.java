package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;

/**
 * What the router believes of the fleet, for other duties. Immutable, safe for use by any thread.
 *
 * @param servers the registered servers
 * @param suspects those that have just failed
 * @param storeAnswers whether the store answered last
 * @param known whether the registrations have been read at all
 */
public record FleetView(
        List<BackendServer> servers, Set<BackendServerId> suspects, boolean storeAnswers, boolean known) {
    /** Before anything was read. */
    public static final FleetView NOTHING = new FleetView(List.of(), Set.of(), false, false);

    public FleetView {
        servers = List.copyOf(servers);
        suspects = Set.copyOf(suspects);
    }
}
