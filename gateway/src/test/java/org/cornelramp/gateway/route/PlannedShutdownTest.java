package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests of a router whose process stops. Bookings time out after 2 s, look-ups are late after 360 ms. */
public class PlannedShutdownTest {
    private static final BackendServer FIRST = TestServers.plain("p1", 31);
    private static final BackendServer SECOND = TestServers.plain("p2", 32);
    private static final long QUICK_MILLIS = 60;
    private static final int EARLIER_REQUESTS = 8;

    private RouterSimulation router;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
        router.register(FIRST);
        router.register(SECOND);
    }

    private FakeHttpClient.Call lastCall() {
        return router.calls().get(router.calls().size() - 1);
    }

    private FakeClient answered(String path, String id, long millis) {
        FakeClient client = router.request(path, id);
        router.run(millis);
        lastCall().complete(200, HeaderFixtures.answer(id));
        router.settle();
        assertEquals(client.status(), 200);
        return client;
    }

    private void answerQuickRequests(String path) {
        for (int i = 0; i < EARLIER_REQUESTS; i++) {
            answered(path, "earlier" + i, QUICK_MILLIS);
        }
    }

    /** Guards against bookings that are accepted and then cut, as their timeout is longer than the process lives. */
    @Test
    public void requestThatMayOutlastTheProcessIsRefused() {
        router.stopWithin(1_900);
        FakeClient client = router.request("/book/a", "late");
        assertEquals(client.status(), 503);
        assertEquals(router.calls().size(), 0);
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against refusals of requests that end in time although their route's timeout would not. */
    @Test
    public void quickRequestIsServedUntilShortlyBeforeTheEnd() {
        answerQuickRequests("/book/a");
        router.stopWithin(1_000);
        router.run(700);
        answered("/book/a", "served", QUICK_MILLIS);
        router.run(100);
        assertEquals(router.request("/book/a", "refused").status(), 503);
    }

    /** Guards against bookings that are accepted because earlier ones were quick, while those in progress are not. */
    @Test
    public void requestsInProgressTellThatServersHaveBecomeSlow() {
        answerQuickRequests("/book/a");
        router.stopWithin(2_500);
        FakeClient slow = router.request("/book/a", "slow");
        router.run(1_000);
        assertEquals(router.request("/book/a", "refused").status(), 503);
        assertEquals(slow.status(), 0);
    }

    /** Guards against connections that are closed without a response when the process ends. */
    @Test
    public void requestInProgressAtTheEndIsToldThatItMayHaveRun() {
        answerQuickRequests("/book/a");
        router.stopWithin(600);
        FakeClient client = router.request("/book/a", "slow");
        router.run(580);
        assertEquals(client.status(), 0);
        router.run(40);
        assertEquals(client.status(), 502);
        assertTrue(lastCall().isAborted());
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against an answer that is replaced by a failure because it comes when the process ends. */
    @Test
    public void answerThatHasArrivedAtTheEndIsForwarded() {
        answerQuickRequests("/book/a");
        router.stopWithin(600);
        FakeClient client = router.request("/book/a", "ready");
        router.run(580);
        lastCall().complete(200, HeaderFixtures.answer("ready"));
        router.tick();
        assertEquals(client.status(), 0);
        router.settle();
        assertEquals(client.status(), 200);
    }

    /** Guards against a late answer that is given up for a retry which can't end before the process does. */
    @Test
    public void lateAnswerIsAwaitedWhereARetryCannotEnd() {
        answerQuickRequests("/look/a");
        router.stopWithin(700);
        FakeClient client = router.request("/look/a", "late");
        router.run(600);
        assertEquals(router.calls().size(), EARLIER_REQUESTS + 1);
        assertFalse(lastCall().isAborted());
        lastCall().complete(200, HeaderFixtures.answer("late"));
        router.settle();
        assertEquals(client.status(), 200);
    }

    /** Guards against a retry that the end of the process cuts: the client gets the outcome of the first attempt. */
    @Test
    public void failedAttemptIsNotRetriedWhereTheRetryCannotEnd() {
        answerQuickRequests("/look/a");
        router.stopWithin(600);
        FakeClient client = router.request("/look/a", "failed");
        router.run(300);
        int calls = router.calls().size();
        lastCall().fail(new EOFException("the connection was closed"));
        router.settle();
        assertEquals(router.calls().size(), calls);
        assertEquals(client.status(), 502);
    }

    /** Guards against an attempt that did not run and is sent again too late to end. */
    @Test
    public void attemptThatDidNotRunIsRefusedWhereAnotherCannotEnd() {
        answerQuickRequests("/book/a");
        router.stopWithin(600);
        FakeClient client = router.request("/book/a", "not-run");
        router.run(300);
        int calls = router.calls().size();
        lastCall().complete(503, HeaderFixtures.refusal("not-run"));
        router.settle();
        assertEquals(router.calls().size(), calls);
        assertEquals(client.status(), 503);
    }
}
