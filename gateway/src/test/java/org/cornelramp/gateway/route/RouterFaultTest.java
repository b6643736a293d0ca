package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Exceptions while the router checks its requests. */
public class RouterFaultTest {
    private static final String REASON = "no reason to expect";

    private final BackendServer engine = RouterSimulation.engine("a1", 11, 0, 8);
    private RouterSimulation router;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.register(engine);
        router.register(TestServers.plain("p1", 31));
        router.register(TestServers.plain("p2", 32));
    }

    private static void fail() {
        throw new IllegalStateException(REASON);
    }

    /** Guards against streams that nobody resumes because the check of another request throws an exception. */
    @Test
    public void exceptionInOneRequestDoesNotStopTheOthers() {
        for (int i = 0; i < 8; i++) {
            router.request("/look/", "late" + i);
        }
        router.run(340);
        router.http().setAbortFailure(new IllegalStateException(REASON)); // each attempt to cancel a late answer
        FakeClient client = router.request("/chat/a", "sound");
        FakeHttpClient.Call call = router.calls().get(8);
        call.events("sound", "id: 0\ndata: x\n\n");
        router.unregister(engine);
        call.fail(new IllegalStateException("reset"));
        router.run(200);
        router.register(RouterSimulation.engine("a2", 12, 0, 8));
        router.run(500);
        assertEquals(router.calls().size(), 10, "the stream is resumed");
        assertEquals(client.isClosed(), false);
    }

    /** Guards against requests that stay for good, and floods of log lines, because each check of them fails. */
    @Test
    public void failingRequestEndsAtItsDeadline() {
        FakeClient client = router.request("/chat/a", "failing");
        client.setBeforeRead(RouterFaultTest::fail);
        router.run(9_100);
        assertEquals(client.status(), 504);
        assertEquals(router.activeRequests(), 0);
        assertEquals(router.linesWith(REASON), 1);
    }

    /** Guards against requests that stay for good because their attempt can't be cancelled at the deadline. */
    @Test
    public void failingCancelDoesNotKeepTheRequest() {
        FakeClient client = router.request("/chat/a", "failing");
        router.http().setAbortFailure(new IllegalStateException(REASON));
        router.run(9_100);
        assertEquals(client.status(), 504);
        assertEquals(router.activeRequests(), 0);
        assertEquals(router.linesWith(REASON), 1);
    }

    /** Guards against ticks that end early because a stream cannot be taken off its engine. */
    @Test
    public void exceptionInAStreamCheckDoesNotStopTheTick() {
        FakeClient client = router.request("/chat/a", "r1");
        FakeHttpClient.Call call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        router.http().setAbortFailure(new IllegalStateException(REASON));
        router.silenceEngines();
        long before = router.peerUpdate().sequenceNumber();
        router.run(2_000);
        assertTrue(router.peerUpdate().sequenceNumber() - before >= 100, "each tick updates the peers");
        call.events("r1", "id: 1\ndata: y\n\n");
        call.complete(200, HeaderFixtures.answer("r1"));
        router.run(100);
        assertTrue(client.isComplete());
    }
}
