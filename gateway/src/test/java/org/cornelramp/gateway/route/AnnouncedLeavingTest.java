package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Servers that say in their answers that they are shutting down, while their registration says nothing yet. */
public class AnnouncedLeavingTest {
    private static final int LEAVING_PORT = 11;
    private static final long DRAIN_MILLIS = 2_000;

    private final BackendServer leaving = RouterSimulation.engine("a1", LEAVING_PORT, 0, 8);
    private final BackendServer other = RouterSimulation.engine("b1", 12, "dc2", 0, 8);
    private RouterSimulation router;
    private int requests;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.register(leaving);
        router.register(other);
        requests = 0;
    }

    private FakeHttpClient.Call lastCall() {
        return router.calls().get(router.calls().size() - 1);
    }

    private void announce() {
        FakeClient client = router.request("/chat/a", "told");
        lastCall().events(HeaderFixtures.leaving(HeaderFixtures.answer("told")), "id: 0\ndata: x\n\n");
        router.tick();
        lastCall().complete(200, HeaderFixtures.answer("told"));
        router.settle();
        assertTrue(client.isComplete(), "the stream that the server has begun is not cut");
    }

    /** Sends ten requests a second, and returns how many of them reach the leaving server. */
    private long requestsIn(long millis) {
        int before = router.calls().size();
        for (int i = 0; i < millis / 100; i++) {
            router.run(100);
            requests++;
            router.request("/chat/a", "r" + requests);
            lastCall().stream(HeaderFixtures.answer("r" + requests));
            router.settle();
        }
        return router.calls().stream()
                .skip(before)
                .filter(call -> call.port() == LEAVING_PORT)
                .count();
    }

    /** Guards against requests to a server that has said that it leaves, because its registration does not say so. */
    @Test
    public void announcedServerGetsNoRequests() {
        announce();
        router.run(DRAIN_MILLIS);
        assertEquals(requestsIn(3_000), 0);
    }

    /** Guards against servers that are used again because they register or the registrations are read again. */
    @Test
    public void registrationsOfTheSameIncarnationDoNotEndIt() {
        announce();
        router.register(leaving.withState(ServerState.READY));
        router.unregister(leaving);
        router.register(leaving);
        List<ServerRegistry.Registration> all = List.of(
                new ServerRegistry.Registration(90, leaving.name(), Optional.of(leaving)),
                new ServerRegistry.Registration(91, other.name(), Optional.of(other)));
        router.handle(new RouterEvent.RegistrationsRead(all, true, 92, 0));
        router.handle(new RouterEvent.RegistrationsRead(all, true, 92, 1));
        router.run(DRAIN_MILLIS);
        assertEquals(requestsIn(3_000), 0);
    }

    /** Guards against servers that are used again because the store is away. */
    @Test
    public void outageOfTheStoreDoesNotEndIt() {
        router.handle(new RouterEvent.StoreStatus(false));
        announce();
        router.run(DRAIN_MILLIS);
        assertEquals(requestsIn(3_000), 0);
        router.handle(new RouterEvent.StoreStatus(true));
        router.register(leaving);
        assertEquals(requestsIn(3_000), 0);
    }

    /** Guards against an announcement that outlives its incarnation. */
    @Test
    public void nextIncarnationIsUsed() {
        announce();
        router.register(TestServers.incarnation(leaving, "a1-2"));
        assertTrue(requestsIn(1_000) > 0);
    }

    /** Guards against plain servers whose announcement is not read. */
    @Test
    public void announcedPlainServerGetsNoRequests() {
        router.register(TestServers.plain("p1", 31));
        router.register(TestServers.plain("p2", 32));
        router.request("/look/", "told");
        int port = lastCall().port();
        lastCall().complete(200, HeaderFixtures.leaving(HeaderFixtures.answer("told")));
        router.settle();
        for (int i = 0; i < 10; i++) {
            router.request("/look/", "look" + i);
            assertTrue(lastCall().port() != port, "it gets request " + i);
        }
    }
}
