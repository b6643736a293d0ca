package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.NameHash;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.poison.PoisonUpdate;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.peer.DemandSection;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Streams of two priorities that compete for an engine whose slots are all taken. */
public class PriorityAdmissionTest {
    private static final int SLOTS = 8;

    /** Waiting requests of a priority none of which was served, from which on it counts as starved. */
    private static final int STARVED = 6;

    /** More than the memory of the engine can hold. */
    private static final int TOO_MANY_TOKENS = 900_000;

    static final String URGENT_ROUTE =
            """
            {"name":"urgent","host":"127.0.0.1","pathPrefix":"/urgent/","kind":"streaming","timeoutMs":9000,
             "targetLatencyMs":500,"priority":0,"service":"llm","maxAttempts":2,"streamResumption":true},
            """;

    private static final String OTHER_KEY = "key-of-another";
    private static final String OTHER_ORGANISATION = "{\"name\":\"another\",\"apiKeys\":[\"" + OTHER_KEY + "\"]},";

    /** Token-layers, more than all requests of a test use. */
    private static final long MUCH_USE = 100_000_000;

    private static final PeerUpdate.Sender PEER = new PeerUpdate.Sender("g2", 1, new DataCentre("dc1"));

    private final BackendServer engine = RouterSimulation.engine("a1", 11, 0, 8);
    /** Shorter than the timeout of the streams. */
    private static final long GRACE_MILLIS = 8_000;

    private RouterSimulation router;

    private static String json(int version, String urgentPath) {
        return StandInConfig.small(version)
                .json()
                .replace("\"routes\":[", "\"routes\":[" + URGENT_ROUTE.replace("/urgent/", urgentPath));
    }

    @BeforeMethod
    public void fillEngine() {
        router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.publish(json(2, "/urgent/"));
        router.register(engine);
        for (int i = 0; i < SLOTS; i++) {
            request("/chat/a", "running" + i);
        }
        assertEquals(router.calls().size(), SLOTS);
    }

    private FakeClient request(String path, String id) {
        return request(path, id, 10, 10);
    }

    private FakeClient request(String path, String id, int promptTokens, int outputTokens) {
        HttpFields fields = HeaderFixtures.counting(promptTokens, outputTokens, HeaderFixtures.authorised(id));
        return router.request(path, fields, new byte[0]);
    }

    private List<String> sentIds() {
        return router.calls().stream()
                .skip(SLOTS)
                .map(call -> HeaderFixtures.requestId(call::header))
                .toList();
    }

    private void freeOneSlot() {
        router.calls().get(0).stream(HeaderFixtures.answer("running0"));
        router.settle();
    }

    /** Guards against a less urgent request that takes the place for which a more urgent one waits. */
    @Test
    public void mostUrgentRequestGetsTheFreedSlot() {
        request("/chat/a", "normal");
        request("/urgent/a", "urgent");
        router.run(100);
        assertEquals(sentIds(), List.of());
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("urgent"));
    }

    /** Guards against a new request that takes a slot before an older one of its priority that waits. */
    @Test
    public void newRequestDoesNotOvertakeAWaitingOne() {
        request("/chat/a", "first");
        freeOneSlot();
        request("/chat/a", "second");
        router.run(100);
        assertEquals(sentIds(), List.of("first"));
    }

    /** Guards against a request that waits until its client has left instead of being refused in time. */
    @Test
    public void requestIsRefusedBeforeItsClientLeaves() {
        FakeClient client = request("/urgent/a", "urgent");
        router.run(2_000);
        assertEquals(client.status(), 503);
        assertNotNull(client.header("Retry-After"));
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of(), "a refused request never runs");
    }

    /** Guards against places that are kept for clients that have left. */
    @Test
    public void clientThatLeavesFreesItsPlace() {
        FakeClient client = request("/urgent/a", "gone");
        client.leave();
        router.run(1_000);
        request("/chat/a", "normal");
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("normal"));
    }

    /** Guards against requests that wait in a process that stops, until it is killed. */
    @Test
    public void stoppingProcessRefusesWaitingRequests() {
        FakeClient client = request("/urgent/a", "urgent");
        router.stopWithin(GRACE_MILLIS);
        router.run(40);
        assertEquals(client.status(), 503);
    }

    /** Guards against requests that are sent by a route which was removed while they waited. */
    @Test
    public void requestOfARemovedRouteIsRefused() {
        FakeClient client = request("/urgent/a", "urgent");
        router.publish(json(3, "/other/"));
        freeOneSlot();
        router.run(100);
        assertEquals(client.status(), 503);
        assertEquals(sentIds(), List.of());
    }

    /** Guards against waiting requests that are lost when the engine that they wait for is gone. */
    @Test
    public void waitingRequestUsesAnotherEngine() {
        request("/urgent/a", "urgent");
        router.register(RouterSimulation.engine("b1", 12, 0, 8));
        router.run(100);
        assertEquals(sentIds(), List.of("urgent"));
    }

    /** Guards against a change for deployments whose routes all have one priority: they refuse at once. */
    @Test
    public void requestsOfOnePriorityDoNotWait() {
        router.publish(StandInConfig.small(3).json());
        FakeClient client = request("/chat/a", "normal");
        assertEquals(client.status(), 503);
        assertTrue(client.isComplete());
        assertFalse(client.isClosed());
    }

    /** Guards against large requests of starved priorities that hold up more urgent ones which fit. */
    @Test
    public void largeRequestsOfStarvedPrioritiesDoNotHoldUpUrgentOnes() {
        String later = URGENT_ROUTE.replace("urgent", "later").replace("\"priority\":0", "\"priority\":2");
        router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.publish(json(2, "/urgent/").replace("\"routes\":[", "\"routes\":[" + later));
        router.register(engine);
        for (int i = 0; i < SLOTS; i++) {
            request("/urgent/a", "running" + i);
        }
        for (int i = 0; i < STARVED; i++) {
            request("/chat/a", "large" + i, 10, TOO_MANY_TOKENS);
            request("/later/a", "larger" + i, 10, TOO_MANY_TOKENS);
        }
        request("/urgent/a", "urgent");
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("urgent"));
    }

    /** Guards against an exception at each tick, which stops the admission of all requests, when a service changes. */
    @Test
    public void requestOfAServiceWithoutEnginesIsRefused() {
        FakeClient client = request("/urgent/a", "urgent");
        router.publish(json(3, "/urgent/").replaceFirst("(?s),\"engine\":\\{.*?\\]\\}\\}", "}"));
        router.run(100);
        assertEquals(client.status(), 503);
        assertEquals(router.exceptions(), 0);
    }

    /** Guards against clients with little time left that are told to return at once, when there is no capacity yet. */
    @Test
    public void refusedClientReturnsNotBeforeTheLeastRetryTime() {
        router.publish(json(3, "/urgent/").replaceFirst("\"timeoutMs\":9000", "\"timeoutMs\":600"));
        FakeClient client = request("/urgent/a", "urgent");
        router.run(600);
        assertEquals(client.status(), 503);
        double seconds = Double.parseDouble(client.header("Retry-After"));
        assertTrue(seconds >= 0.2, "Retry-After: " + seconds);
    }

    /** Guards against requests that crash servers and wait at the front of the queue until their clients leave. */
    @Test
    public void waitingRequestThatCrashesServersIsRefused() {
        FakeClient client = request("/urgent/a", "poison");
        String fingerprint = client.exchange().request().fingerprint();
        PoisonUpdate refusal = new PoisonUpdate(List.of(), Map.of(fingerprint, 60_000L), Map.of(), Map.of());
        router.handle(new RouterEvent.PeerUpdateReceived(
                PeerUpdate.of(PEER, 1, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE)
                        .withPoison(refusal)));
        router.run(40);
        assertEquals(client.status(), 503);
        assertTrue(Double.parseDouble(client.header("Retry-After")) > 50, "the time until it is not refused any more");
    }

    /** Guards against waiting requests that are served by the priority that their route had when they arrived. */
    @Test
    public void changedPriorityAppliesToWaitingRequests() {
        request("/chat/a", "normal");
        request("/urgent/a", "urgent");
        router.publish(json(3, "/urgent/").replace("\"priority\":0", "\"priority\":5"));
        freeOneSlot();
        router.run(100);
        assertEquals(sentIds(), List.of("normal"));
    }

    /** Guards against waiting requests that are refused, or wait on, by the timeout that their route had. */
    @Test
    public void changedTimeoutAppliesToWaitingRequests() {
        FakeClient client = request("/urgent/a", "urgent");
        router.publish(json(3, "/urgent/").replaceFirst("\"timeoutMs\":9000", "\"timeoutMs\":600"));
        router.run(700);
        assertEquals(client.status(), 503);
        FakeClient other = request("/urgent/a", "other");
        router.publish(json(4, "/urgent/"));
        router.run(700);
        assertEquals(other.status(), 0);
        freeOneSlot();
        router.run(40);
        assertEquals(sentIds(), List.of("other"));
    }

    /** Guards against an organisation that gets more than others by sending through several gateways. */
    @Test
    public void useThroughOtherGatewaysDecidesBetweenOrganisations() {
        router.publish(json(3, "/urgent/").replace("\"tenants\":[", "\"tenants\":[" + OTHER_ORGANISATION));
        router.run(20);
        reportUse("another");
        HttpFields fields = HttpFields.build(HeaderFixtures.authorised("first"))
                .put(HttpHeader.AUTHORIZATION, "Token " + OTHER_KEY);
        router.request("/chat/a", fields, new byte[0]); // of an organisation that has used nothing here
        request("/chat/a", "second");
        freeOneSlot();
        router.run(40);
        assertEquals(sentIds(), List.of("second"));
    }

    private void reportUse(String organisation) {
        DemandReport.ServiceDemand use = new DemandReport.ServiceDemand(
                NameHash.of(new ServiceName(StandInConfig.ENGINES)),
                List.of(),
                Map.of(NameHash.of(new OrganisationId(organisation)), MUCH_USE));
        router.handle(new RouterEvent.PeerUpdateReceived(
                PeerUpdate.of(PEER, 1, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE)
                        .withDemandSection(new DemandSection(
                                Optional.of(new DemandReport(List.of(use), Map.of())), 1, Optional.empty()))));
    }
}
