package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Streams of two priorities whose attempt fails before the first event, while the other engine is full. */
public class RetryAdmissionTest {
    private static final int SLOTS = 8;

    /** Longer than a stream that has failed waits where there is one priority. */
    private static final long LONG_WAIT_MILLIS = 1_000;

    private static final BackendServer FULL = RouterSimulation.engine("a1", 11, 0, 8);
    private static final BackendServer LOST = RouterSimulation.engine("b1", 12, 0, 8);

    /** Shorter than the timeout of the streams. */
    private static final long GRACE_MILLIS = 8_000;

    private RouterSimulation router;

    private static String json(int version) {
        return StandInConfig.small(version)
                .json()
                .replace("\"routes\":[", "\"routes\":[" + PriorityAdmissionTest.URGENT_ROUTE);
    }

    @BeforeMethod
    public void fillEngine() {
        fillEngine(GatewayFixture.MANY_RETRIES, json(2));
    }

    private void fillEngine(String settings, String json) {
        router = new RouterSimulation(StandInConfig.small(1), settings, 1);
        router.publish(json);
        router.register(FULL);
        for (int i = 0; i < SLOTS; i++) {
            request("/chat/a", "running" + i);
        }
        assertEquals(router.calls().size(), SLOTS);
    }

    private FakeClient request(String path, String id) {
        return router.request(path, HeaderFixtures.authorised(id), new byte[0]);
    }

    private List<String> sentIds() {
        return router.calls().stream()
                .skip(SLOTS)
                .map(call -> HeaderFixtures.requestId(call::header))
                .toList();
    }

    private FakeHttpClient.Call lastCall() {
        return router.calls().get(router.calls().size() - 1);
    }

    private void freeOneSlot() {
        router.calls().get(0).stream(HeaderFixtures.answer("running0"));
        router.settle();
    }

    /** Sends a stream to an engine that is lost before the first event. */
    private FakeClient requestToLostEngine(String path, String id) {
        router.register(LOST);
        FakeClient client = request(path, id);
        assertEquals(lastCall().port(), LOST.address().port());
        router.unregister(LOST);
        lastCall().reset();
        router.settle();
        return client;
    }

    /** Sends a stream to an engine that does not run it and leaves. */
    private FakeClient requestToRefusingEngine(String path, String id) {
        router.register(LOST);
        FakeClient client = request(path, id);
        router.unregister(LOST);
        lastCall().complete(503, HeaderFixtures.refusal(id));
        router.settle();
        return client;
    }

    private void receivePeerUpdate() {
        PeerUpdate.Sender peer = new PeerUpdate.Sender("g2", 1, new DataCentre("dc1"));
        router.handle(new RouterEvent.PeerUpdateReceived(
                PeerUpdate.of(peer, 1, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE)));
    }

    /** Lets time pass, in which a peer that has no retries to lend sends its updates. */
    private void runWithPeer(long millis) {
        for (long end = router.now() + millis; router.now() < end; ) {
            receivePeerUpdate();
            router.run(Math.min(100, end - router.now()));
        }
    }

    /** Guards against streams that are given up 400 ms after their engine was lost, although their clients still wait. */
    @Test
    public void streamOfALostEngineWaitsForCapacity() {
        FakeClient client = requestToLostEngine("/urgent/a", "urgent");
        router.run(LONG_WAIT_MILLIS);
        assertEquals(client.status(), 0);
        freeOneSlot();
        router.run(40);
        assertEquals(sentIds(), List.of("urgent", "urgent"));
        lastCall().stream(HeaderFixtures.answer("urgent"));
        router.settle();
        assertTrue(client.isComplete());
        assertEquals(client.status(), 200);
    }

    /** Guards against a retry that waits behind less urgent requests that have arrived since. */
    @Test
    public void retryGoesBeforeLessUrgentArrivals() {
        request("/chat/a", "earlier");
        requestToLostEngineWhileOthersWait("/urgent/a", "urgent");
        request("/chat/a", "later");
        freeOneSlot();
        router.run(40);
        assertEquals(sentIds(), List.of("earlier", "urgent", "urgent"));
    }

    private void requestToLostEngineWhileOthersWait(String path, String id) {
        router.register(LOST);
        router.run(40); // waiting requests are sent first
        request(path, id);
        router.unregister(LOST);
        lastCall().reset();
        router.settle();
    }

    /** Guards against a retry of a less urgent stream that takes the slot for which a more urgent one waits. */
    @Test
    public void retryWaitsBehindMoreUrgentRequests() {
        requestToLostEngine("/chat/a", "normal");
        request("/urgent/a", "urgent");
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("normal", "urgent"));
    }

    /** Guards against a promise that a request has not run, made to a client whose stream may have run. */
    @Test
    public void streamThatMayHaveRunEndsWithAnUnknownOutcome() {
        FakeClient client = requestToLostEngine("/urgent/a", "urgent");
        router.run(2_000);
        assertEquals(client.status(), 502);
        assertNull(client.header("Retry-After"));
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("urgent"), "a stream that has ended never runs again");
    }

    /** Guards against an unknown outcome for a stream that certainly has not run, which its client may not send again. */
    @Test
    public void streamThatHasNotRunIsRefused() {
        FakeClient client = requestToRefusingEngine("/urgent/a", "urgent");
        router.run(2_000);
        assertEquals(client.status(), 503);
        assertNotNull(client.header("Retry-After"));
    }

    /** Guards against retries beyond the budget, and against streams that wait for a retry that nobody can lend. */
    @Test
    public void streamWithoutARetryEndsAtOnce() {
        fillEngine(GatewayFixture.NO_RETRIES, json(2));
        FakeClient client = requestToLostEngine("/urgent/a", "urgent");
        assertEquals(client.status(), 502);
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("urgent"));
    }

    /** Guards against streams that wait until their clients leave for a retry that no peer lends. */
    @Test
    public void waitForALoanEnds() {
        fillEngine(GatewayFixture.NO_RETRIES, json(2));
        runWithPeer(20);
        FakeClient client = requestToLostEngine("/urgent/a", "urgent");
        freeOneSlot();
        runWithPeer(300);
        assertEquals(client.status(), 0);
        assertTrue(!router.peerUpdate().retryLoans().loanRequests().isEmpty(), "the peers are asked to lend a retry");
        runWithPeer(140);
        assertEquals(client.status(), 502);
        assertEquals(sentIds(), List.of("urgent"));
    }

    /** Guards against a stream without a retry that holds up the requests that need none. */
    @Test
    public void streamWithoutARetryDoesNotHoldUpOthers() {
        fillEngine(GatewayFixture.NO_RETRIES, json(2));
        runWithPeer(20);
        requestToLostEngine("/urgent/a", "urgent");
        request("/chat/a", "normal");
        freeOneSlot();
        router.run(40);
        assertEquals(sentIds(), List.of("urgent", "normal"));
    }

    /** Guards against a retry that is paid while it waits: two that wait and one retry are one attempt. */
    @Test
    public void retryIsPaidOnceWhenItIsSent() {
        fillEngine(",\"retries\":{\"ratio\":0.15,\"reserve\":0,\"windowSeconds\":60}", json(2));
        for (int i = 0; i < 5; i++) { // with the running ones, one retry that a stream without an event may use
            request("/chat/a", "counted" + i).leave();
        }
        router.run(40);
        FakeClient first = requestToLostEngine("/urgent/a", "first");
        router.run(200);
        assertEquals(first.status(), 0);
        freeOneSlot();
        router.run(40);
        assertEquals(sentIds(), List.of("first", "first"));
        FakeClient second = requestToLostEngine("/urgent/a", "second");
        assertEquals(second.status(), 502);
    }

    /** Guards against streams that wait in a process that stops, and against a wrong promise to their clients. */
    @Test
    public void stoppingProcessEndsWaitingRetries() {
        FakeClient mayHaveRun = requestToLostEngine("/urgent/a", "unknown");
        FakeClient notRun = requestToRefusingEngine("/urgent/a", "refused");
        router.stopWithin(GRACE_MILLIS);
        router.run(40);
        assertEquals(mayHaveRun.status(), 502);
        assertEquals(notRun.status(), 503);
        assertEquals(router.activeRequests(), SLOTS);
    }

    /** Guards against a second run on a route that has been changed to allow only one while the stream waited. */
    @Test
    public void streamThatMayNotRunAgainAfterAChangeEnds() {
        FakeClient client = requestToLostEngine("/urgent/a", "urgent");
        router.run(40);
        router.publish(json(3).replace("\"streamResumption\":true", "\"streamResumption\":false"));
        freeOneSlot();
        router.run(40);
        assertEquals(client.status(), 502);
        assertEquals(sentIds(), List.of("urgent"));
    }

    /** Guards against a retry for a client that has left. */
    @Test
    public void clientThatLeavesEndsTheWaitForARetry() {
        FakeClient client = requestToLostEngine("/urgent/a", "gone");
        client.leave();
        router.run(LONG_WAIT_MILLIS);
        assertEquals(router.activeRequests(), SLOTS);
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("gone"));
    }

    /** Guards against a third engine for a stream whose route allows two, and against others that wait behind it. */
    @Test
    public void streamThatHasUsedItsServersDoesNotHoldUpOthers() {
        for (int i = 0; i < 2; i++) {
            BackendServer used = RouterSimulation.engine("u" + i, 20 + i, 0, 8);
            router.register(used);
            if (i == 0) {
                request("/urgent/a", "urgent");
            }
            router.run(40);
            assertEquals(lastCall().port(), 20 + i);
            router.register(used.withState(ServerState.DRAINING)); // stays registered, but takes no more requests
            lastCall().reset();
            router.settle();
        }
        router.register(RouterSimulation.engine("c1", 30, 0, 8));
        request("/chat/a", "other");
        router.run(200);
        assertEquals(sentIds(), List.of("urgent", "urgent", "other"));
    }

    /** Guards against a stream that pauses although there is capacity, as a request that has not started takes it. */
    @Test
    public void startedStreamGoesBeforeWaitingRequests() {
        for (int ticks = 1; ticks <= 4; ticks++) { // the slot becomes free at any time between two searches
            fillEngine();
            router.register(LOST);
            FakeClient client = request("/chat/a", "started");
            lastCall().events("started", "id: 0\ndata: x\n\n");
            router.run(40);
            router.unregister(LOST);
            lastCall().reset();
            router.settle();
            request("/urgent/a", "urgent");
            router.run(ticks * RequestRouter.TICK_MILLIS);
            assertEquals(sentIds(), List.of("started"));
            freeOneSlot();
            router.run(RequestRouter.TICK_MILLIS);
            assertEquals(sentIds(), List.of("started", "started"), "after " + ticks + " ticks");
            assertEquals(client.status(), 200);
        }
    }

    /** Guards against a change for services whose routes all have one priority: a failed stream waits for 400 ms. */
    @Test
    public void streamsOfOnePriorityWaitAsBefore() {
        fillEngine(GatewayFixture.MANY_RETRIES, StandInConfig.small(2).json());
        runWithPeer(20);
        FakeClient client = requestToLostEngine("/chat/a", "normal");
        runWithPeer(380);
        assertEquals(client.status(), 0);
        runWithPeer(40);
        assertEquals(client.status(), 502);
        assertEquals(router.linesWith("no retry and no server became available in time"), 1);
    }
}
