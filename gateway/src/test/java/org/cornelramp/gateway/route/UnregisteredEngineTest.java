package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Streams over an engine that has left the list of registered servers. */
public class UnregisteredEngineTest {
    private static final int HALF_MODEL_MB = 45;

    private RouterSimulation router;
    private BackendServer leaving;
    private FakeClient client;
    private FakeHttpClient.Call first;

    /** Starts a stream, gives it no other path within the data centre, and removes the registration of an engine. */
    @BeforeMethod
    public void startStreamAndUnregisterItsSecondEngine() {
        router = new RouterSimulation(StandInConfig.small(1).withCardMb(HALF_MODEL_MB), "", 1);
        leaving = RouterSimulation.engine("b1", 21, 4, 8);
        router.register(RouterSimulation.engine("a1", 11, 0, 4));
        router.register(leaving);
        client = router.request("/chat/a", "r1");
        first = router.calls().get(0);
        sendEvents(0, 5);
        router.register(RouterSimulation.engine("a2", 12, "dc2", 0, 4));
        router.register(RouterSimulation.engine("b2", 22, "dc2", 4, 8));
        router.register(leaving.withState(ServerState.DRAINING));
        router.unregister(leaving);
    }

    private void sendEvents(int from, int to) {
        for (int i = from; i < to; i++) {
            first.events("r1", "id: " + i + "\ndata: x\n\n");
            router.run(20);
        }
    }

    /**
     * Guards against started streams that stay silent until their client leaves: an engine in the middle of their path
     * has ended, its registration is removed before it is probed, and the only other engines are in another data
     * centre, to which a running stream is not moved.
     */
    @Test
    public void silentStreamOverADeadUnregisteredEngineContinuesElsewhere() {
        router.setReportFaults(engine -> engine.id().equals(leaving.id())
                ? Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "refused"))
                : Optional.empty());
        router.run(1_000);
        assertTrue(first.isAborted(), "the stream does not wait for the engine that has ended");
        first.fail(null);
        router.run(1_000);
        assertEquals(router.calls().size(), 2);
        FakeHttpClient.Call second = router.calls().get(1);
        second.events("r1", "id: 5\ndata: y\n\n");
        second.complete(200, HeaderFixtures.answer("r1"));
        router.settle();
        assertTrue(client.isComplete());
    }

    /** Guards against started streams that are cut although their unregistered engine still serves them. */
    @Test
    public void streamOverALivingUnregisteredEngineStaysInAPause() {
        router.run(400);
        assertFalse(first.isAborted());
        sendEvents(5, 8);
        first.complete(200, HeaderFixtures.answer("r1"));
        router.settle();
        assertTrue(client.isComplete());
        assertEquals(router.calls().size(), 1);
    }
}
