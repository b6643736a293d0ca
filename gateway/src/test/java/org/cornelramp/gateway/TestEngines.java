package org.cornelramp.gateway;

import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.settings.HostPort;

/** Creates engines for tests that need only their id and address. Stateless. */
public final class TestEngines {
    private TestEngines() {}

    /** A ready engine without layers. */
    public static BackendServer empty(String id, HostPort address) {
        return TestServers.engine(id, address, "dc1", Optional.empty());
    }
}
