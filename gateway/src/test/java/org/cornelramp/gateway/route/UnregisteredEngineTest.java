package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.Test;

/** Streams over an engine that has left the list of registered servers. */
public class UnregisteredEngineTest {
    private static final int HALF_MODEL_MB = 45;

    /**
     * Guards against started streams that stay silent until their client leaves: an engine in the middle of their path
     * has ended, its registration is removed before it is probed, and the only other engines are in another data centre,
     * to which a running stream is not moved.
     */
    @Test
    public void silentStreamOverAnUnregisteredEngineContinuesElsewhere() {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1).withCardMb(HALF_MODEL_MB), "", 1);
        BackendServer leaving = RouterSimulation.engine("b1", 21, 4, 8);
        router.register(RouterSimulation.engine("a1", 11, 0, 4));
        router.register(leaving);
        FakeClient client = router.request("/chat/a", "r1");
        FakeHttpClient.Call first = router.calls().get(0);
        first.events("r1", "id: 0\ndata: x\n\n");
        router.run(100);
        router.register(RouterSimulation.engine("a2", 12, "dc2", 0, 4));
        router.register(RouterSimulation.engine("b2", 22, "dc2", 4, 8));
        router.register(leaving.withState(ServerState.DRAINING));
        router.unregister(leaving);
        router.run(1_000);
        assertTrue(first.isAborted(), "the stream does not wait for the engine that has left");
        first.fail(null);
        router.run(1_000);
        assertEquals(router.calls().size(), 2);
        FakeHttpClient.Call second = router.calls().get(1);
        second.events("r1", "id: 1\ndata: y\n\n");
        second.complete(200, HeaderFixtures.answer("r1"));
        router.settle();
        assertEquals(client.received(), "id: 0\ndata: x\n\nid: 1\ndata: y\n\n");
        assertTrue(client.isComplete());
    }
}
