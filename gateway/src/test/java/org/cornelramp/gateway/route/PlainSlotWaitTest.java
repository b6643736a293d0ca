package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.Test;

/** Unsafe requests while the only plain server is known to be full. Its route has a target of 300 ms. */
public class PlainSlotWaitTest {
    /** A configuration with two priorities of streams, so that the gateways report their demand. */
    static String withPriorities(int version) {
        return StandInConfig.small(version)
                .json()
                .replace("\"routes\":[", "\"routes\":[" + PriorityAdmissionTest.URGENT_ROUTE);
    }

    private static RouterSimulation fullServer(int gateways) {
        return fullServer(gateways, withPriorities(2));
    }

    private static RouterSimulation fullServer(int gateways, String config) {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
        router.publish(config);
        router.tick();
        router.register(TestServers.plain("p1", 31));
        for (int i = 2; i <= gateways; i++) {
            RouterSimulation peer =
                    new RouterSimulation("g" + i, StandInConfig.small(1), GatewayFixture.MANY_RETRIES, i);
            router.handle(new RouterEvent.PeerUpdateReceived(peer.peerUpdate()));
        }
        router.request("/look/", "running");
        router.request("/look/", "shed");
        router.calls().get(1).complete(503, HeaderFixtures.refusal("shed"));
        router.settle();
        return router;
    }

    private static long sent(RouterSimulation router, String id) {
        return router.calls().stream()
                .filter(call -> HeaderFixtures.requestId(call::header).equals(id))
                .count();
    }

    /** Guards against unsafe requests that are sent to a full server, and against waits that outlast its load. */
    @Test
    public void unsafeRequestWaitsForASlot() {
        RouterSimulation router = fullServer(8);
        FakeClient client = router.request("/book/", "unsafe");
        assertEquals(sent(router, "unsafe"), 0);
        router.run(20);
        assertEquals(sent(router, "unsafe"), 0);
        assertEquals(router.activeRequests(), 2, "a shutdown waits for it as for any request");
        router.run(20);
        assertEquals(sent(router, "unsafe"), 1);
        assertEquals(client.status(), 0);
        assertEquals(router.linesWith("slot wait ended"), 1);
    }

    /** Guards against requests that wait longer than a quarter of their target, or run after the refusal. */
    @Test
    public void waitingRequestIsRefusedAtItsBound() {
        RouterSimulation router = fullServer(8);
        FakeClient client = router.request("/book/", "unsafe");
        router.calls().get(0).complete(200, HeaderFixtures.loaded("8,30,8", HeaderFixtures.answer("running")));
        router.run(60);
        assertEquals(client.status(), 0);
        router.run(20);
        assertEquals(client.status(), 503);
        assertTrue(Double.parseDouble(client.header("Retry-After")) >= 0.2);
        router.run(500);
        assertEquals(sent(router, "unsafe"), 0);
    }

    /** Guards against a request that runs although its client has left while it waited. */
    @Test
    public void clientThatLeavesEndsTheWait() {
        RouterSimulation router = fullServer(8);
        String config = withPriorities(3);
        router.publish(config.replace("\"targetLatencyMs\":300", "\"targetLatencyMs\":3000"));
        FakeClient client = router.request("/book/", "unsafe");
        router.calls().get(0).complete(200, HeaderFixtures.loaded("8,70,8", HeaderFixtures.answer("running")));
        router.run(20);
        assertEquals(router.activeRequests(), 1);
        client.leave();
        router.run(200); // the connection is read every 150 ms
        assertEquals(router.activeRequests(), 0);
        router.run(1_000);
        assertEquals(sent(router, "unsafe"), 0);
    }

    /** Guards against a change for deployments whose gateways report no demand: their requests do not wait. */
    @Test
    public void requestIsSentAtOnceWithoutDemandReports() {
        RouterSimulation router = fullServer(8, StandInConfig.small(2).json());
        router.request("/book/", "unsafe");
        assertEquals(sent(router, "unsafe"), 1);
    }

    /** Guards against waits where few gateways share the server. */
    @Test
    public void requestIsSentAtOnceWithFewerGatewaysThanSlots() {
        RouterSimulation router = fullServer(7);
        router.request("/book/", "unsafe");
        assertEquals(sent(router, "unsafe"), 1);
    }
}
