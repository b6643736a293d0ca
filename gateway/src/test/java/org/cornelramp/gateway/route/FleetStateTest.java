package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;
import org.testng.annotations.Test;

/** Which servers are usable while they shut down, and how long a process counts as late. */
public class FleetStateTest {
    private static final ServiceName SERVICE = new ServiceName("s");

    private static BackendServer server(boolean engine) {
        Optional<LayerRange> layers = engine ? Optional.of(new LayerRange(0, 8, 8)) : Optional.empty();
        return new BackendServer(
                new BackendServerId("i-1"),
                new BackendServerId("i-1"),
                SERVICE,
                new HostPort("10.0.0.1", 80),
                new DataCentre("dc1"),
                ServerState.DRAINING,
                6,
                engine ? "big" : "",
                layers);
    }

    private static FleetState leaving(boolean engine) {
        FleetState fleet = new FleetState("g1", 1_200);
        fleet.setStoreAvailable(true, 0);
        BackendServer server = server(engine);
        fleet.registry().apply(new ServerRegistry.Registration(1, server.id(), Optional.of(server)), 10_000);
        return fleet;
    }

    /**
     * Guards against plain requests that are sent to a server just after it has stopped. The server's registration said
     * that it was shutting down, took 0.8 s through a slow store, and a request was sent 1.2 s after it, 29 ms too
     * late. Another server can always take a plain request, so none is sent once the registration has been read.
     */
    @Test
    public void plainServerShuttingDownIsNotUsable() {
        assertEquals(leaving(false).usableServers(SERVICE, 10_001), List.of());
    }

    /**
     * Guards against requests refused for want of a retry when 6 of 130 engines shut down at the same time. A gateway
     * that still sends streams over these engines, for 2.5 s in case no other engine holds their layers, has each
     * stream refused by them and loses a retry for it; with the retries used up, callers are refused although other
     * paths exist.
     */
    @Test
    public void engineShuttingDownIsNotUsable() {
        FleetState fleet = leaving(true);
        assertEquals(fleet.usableServers(SERVICE, 10_001), List.of());
        fleet.setStoreAvailable(false, 10_100);
        assertEquals(fleet.usableServers(SERVICE, 10_200), List.of());
    }

    /**
     * A late tick counts for one second: the threads that read the answers which arrived meanwhile are delayed as well.
     */
    @Test
    public void processIsLateForOneSecondAfterLateTick() {
        FleetState fleet = new FleetState("g1", 1_200);
        fleet.recordTickDelay(29, 1_000);
        assertFalse(fleet.isLate(1_000));
        fleet.recordTickDelay(30, 2_000);
        assertTrue(fleet.isLate(2_999));
        assertFalse(fleet.isLate(3_000));
    }
}
