package org.cornelramp.gateway;

import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.StandInConfig;

/** Creates backend servers that are ready. Stateless. */
public final class TestServers {
    private static final int SLOTS = 8;

    private TestServers() {}

    /** An engine with these layers, or without any. */
    public static BackendServer engine(String id, HostPort address, String dataCentre, Optional<LayerRange> layers) {
        return server(id, StandInConfig.ENGINES, address, dataCentre, StandInConfig.CARD, layers);
    }

    /** A server of the plain service. */
    public static BackendServer plain(String id, int port) {
        return server(id, StandInConfig.PLAIN, new HostPort("127.0.0.1", port), "dc1", "", Optional.empty());
    }

    /** A later incarnation of a server, with the id. */
    public static BackendServer incarnation(BackendServer server, String id) {
        return new BackendServer(
                new BackendServerId(id),
                server.name(),
                server.service(),
                server.address(),
                server.dataCentre(),
                ServerState.READY,
                server.slots(),
                server.card(),
                server.layers());
    }

    private static BackendServer server(
            String id, String service, HostPort address, String dataCentre, String card, Optional<LayerRange> layers) {
        BackendServerId server = new BackendServerId(id);
        return new BackendServer(
                server,
                server,
                new ServiceName(service),
                address,
                new DataCentre(dataCentre),
                ServerState.READY,
                SLOTS,
                card,
                layers);
    }
}
