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

/** Which servers may be given work while they leave. */
public class BeliefsTest {
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

    private static Beliefs leaving(boolean engine) {
        Beliefs beliefs = new Beliefs(1_200);
        beliefs.storeAnswers(true, 0);
        BackendServer server = server(engine);
        beliefs.registry().apply(new ServerRegistry.Registration(1, server.id(), Optional.of(server)), 10_000);
        return beliefs;
    }

    /**
     * A plain server said that it leaves; the news took 0.8 s through a slow store, and a request was sent 1.2 s after
     * it, 29 ms too late. Another server can always take a plain request, so one that leaves gets none from the moment
     * its news are read.
     */
    @Test
    public void aPlainServerThatLeavesGetsNothingNew() {
        assertEquals(leaving(false).usable(SERVICE, 10_001), List.of());
    }

    /**
     * Six of 130 engines say that they leave (load of a planned shrink). For two and a half seconds a gateway still sent
     * streams over them, since nobody else might hold their layers; each of these streams was refused by the leaving
     * engine, cost a repeat, and with the repeats used up callers were turned away although other paths were there.
     */
    @Test
    public void anEngineThatLeavesGetsNothingNew() {
        Beliefs beliefs = leaving(true);
        assertEquals(beliefs.usable(SERVICE, 10_001), List.of());
        beliefs.storeAnswers(false, 10_100);
        assertEquals(beliefs.usable(SERVICE, 10_200), List.of());
    }

    /** A turn that came late counts for a while: answers that arrived meanwhile are read by threads that wait as well. */
    @Test
    public void aProcessIsLateForAWhileAfterALateTurn() {
        Beliefs beliefs = new Beliefs(1_200);
        beliefs.tickLate(29, 1_000);
        assertFalse(beliefs.isLate(1_000));
        beliefs.tickLate(30, 2_000);
        assertTrue(beliefs.isLate(2_999));
        assertFalse(beliefs.isLate(3_000));
    }
}
