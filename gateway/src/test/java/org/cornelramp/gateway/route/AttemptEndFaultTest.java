package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Exceptions while the router handles the end of an attempt or starts one. */
public class AttemptEndFaultTest {
    private RouterSimulation router;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.register(RouterSimulation.engine("a1", 11, 0, 8));
        router.register(RouterSimulation.engine("a2", 12, 0, 8));
        router.register(TestServers.plain("p1", 31));
        router.register(TestServers.plain("p2", 32));
    }

    /** Ends a request so that the router's handling of the end throws an exception. */
    private void failWithException(FakeHttpClient.Call call) {
        router.failNextEnd();
        call.fail(new IllegalStateException("reset"));
        router.handleNext();
    }

    /** Guards against a non-idempotent request that runs twice after an exception in the handling of its end. */
    @Test
    public void nonIdempotentRequestIsNotSentAgain() {
        FakeClient client = router.request("/book/", "r1");
        failWithException(router.calls().get(0));
        router.run(1_000);
        assertEquals(router.calls().size(), 1);
        assertEquals(client.status(), 502, "it may have run");
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against started streams that are not resumed after an exception in the handling of an attempt's end. */
    @Test
    public void startedStreamIsResumed() {
        FakeClient client = router.request("/chat/", "r1");
        FakeHttpClient.Call call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        failWithException(call);
        router.run(1_000);
        assertEquals(router.calls().size(), 2);
        router.calls().get(1).complete(200, HeaderFixtures.answer("r1"));
        router.run(100);
        assertTrue(client.isComplete());
    }

    /** Guards against retries beyond the budget after an exception in the handling of an attempt's end. */
    @Test
    public void startedStreamConsumesARetry() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.NO_RETRIES, 1);
        router.register(RouterSimulation.engine("a1", 11, 0, 8));
        FakeClient client = router.request("/chat/", "r1");
        FakeHttpClient.Call call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        failWithException(call);
        router.run(1_000);
        assertEquals(router.calls().size(), 1);
        assertFalse(client.isClosed());
    }

    /** Guards against started streams that wait for good because the sending of a retry throws an exception. */
    @Test
    public void startedStreamIsResumedAfterARetryThatCannotBeSent() {
        FakeClient client = router.request("/chat/", "r1");
        FakeHttpClient.Call call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        router.http().setSendFailure(new IllegalStateException("cannot send"));
        call.fail(new IllegalStateException("reset"));
        router.run(100);
        router.http().setSendFailure(null);
        router.run(1_000);
        assertEquals(router.calls().size(), 2);
        assertFalse(client.isClosed());
    }

    /** Guards against requests that wait for their deadline because the sending throws an exception. */
    @Test
    public void requestThatCannotBeSentIsAnswered() {
        router.http().setSendFailure(new IllegalStateException("cannot send"));
        FakeClient client = router.request("/book/", "r1");
        router.run(100);
        assertEquals(client.status(), 502, "it may have been sent");
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against load that is counted for good because the sending throws an exception. */
    @Test
    public void requestThatCannotBeSentLeavesNoLoad() {
        router.http().setSendFailure(new IllegalStateException("cannot send"));
        router.request("/chat/", "r1");
        router.run(9_100);
        assertEquals(router.activeRequests(), 0);
        assertEquals(router.peerUpdate().loads().orElseThrow().size(), 0);
    }
}
