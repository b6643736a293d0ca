package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.PlainServers;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.fleet.Suspicions;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.settings.HostPort;

/** What the gateway believes of the backend servers. Owned by the router's duty. */
public final class Beliefs {
    private final ServerRegistry registry = new ServerRegistry();
    private final Suspicions suspicions = new Suspicions();
    private final EngineLoads loads = new EngineLoads();
    private final PlainServers plain = new PlainServers();
    private boolean known;

    /** The registrations. */
    public ServerRegistry registry() {
        return registry;
    }

    /** Servers that have just failed. */
    public Suspicions suspicions() {
        return suspicions;
    }

    /** What runs on each engine from here. */
    public EngineLoads loads() {
        return loads;
    }

    /** How plain servers did. */
    public PlainServers plain() {
        return plain;
    }

    /** Whether the registrations have been read at least once. */
    public boolean isKnown() {
        return known;
    }

    /** Notes that the registrations have been read. */
    public void setKnown() {
        known = true;
    }

    /** The servers of a service that take work and are trusted now. */
    public List<BackendServer> usable(ServiceName service, long nowMillis) {
        List<BackendServer> usable = new ArrayList<>();
        for (BackendServer server : registry.servers()) {
            boolean fits = server.service().equals(service) && server.state().takesWork();
            if (fits && !suspicions.isSuspect(server.id(), nowMillis)) {
                usable.add(server);
            }
        }
        return usable;
    }

    /** The server at an address. */
    public Optional<BackendServer> at(HostPort address) {
        return registry.servers().stream()
                .filter(server -> server.address().equals(address))
                .findFirst();
    }

    /** Forgets what is known of servers that are not registered any more. */
    public void forgetGone() {
        suspicions.retain(id -> registry.server(id).isPresent());
        loads.retain(id -> registry.server(id).isPresent());
        plain.retain(id -> registry.server(id).isPresent());
    }
}
