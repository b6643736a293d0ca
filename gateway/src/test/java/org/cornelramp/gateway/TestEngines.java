package org.cornelramp.gateway;

import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;

/** Creates engines for tests that need only their id and address. Stateless. */
public final class TestEngines {
    private TestEngines() {}

    /** A ready engine without layers. */
    public static BackendServer empty(String id, HostPort address) {
        BackendServerId server = new BackendServerId(id);
        return new BackendServer(
                server,
                server,
                new ServiceName("llm"),
                address,
                new DataCentre("dc1"),
                ServerState.READY,
                8,
                "big",
                Optional.empty());
    }
}
