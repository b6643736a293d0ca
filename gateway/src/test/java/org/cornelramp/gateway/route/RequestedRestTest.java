package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Servers that turn a request away and ask the gateway for rest. */
public class RequestedRestTest {
    private static final int RESTING_PORT = 11;
    private static final int OTHER_PORT = 12;
    private static final long REST_MILLIS = 3_000;

    /** Time from the answer until its gateway must keep to it. */
    private static final long REACTION_MILLIS = 500;

    /** Requests that may reach a server in its rest all the same. */
    private static final int ALLOWED = 2;

    private final BackendServer resting = RouterSimulation.engine("a1", RESTING_PORT, 0, 8);
    private final BackendServer other = RouterSimulation.engine("b1", OTHER_PORT, "dc2", 0, 8);
    private final Map<Integer, Integer> arrivals = new HashMap<>();
    private RouterSimulation router;
    private int handled;
    private int requests;
    private String retryAfter = "3";

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
        router.register(resting);
        arrivals.clear();
        handled = 0;
        requests = 0;
        retryAfter = "3";
    }

    /** Answers streams that the servers have received; the resting one turns all away, plain servers are busy. */
    private void serve() {
        router.settle();
        while (handled < router.calls().size()) {
            FakeHttpClient.Call call = router.calls().get(handled++);
            arrivals.merge(call.port(), 1, Integer::sum);
            String id = HeaderFixtures.requestId(call::header);
            if (call.port() == RESTING_PORT) {
                call.complete(503, HeaderFixtures.resting(retryAfter, HeaderFixtures.refusal(id)));
            } else if (!HeaderFixtures.enginePorts(call::header).isEmpty()) {
                call.stream(HeaderFixtures.answer(id));
            }
            router.settle();
        }
    }

    private void run(long millis, boolean requested) {
        for (long end = router.now() + millis; router.now() < end; ) {
            router.tick();
            if (requested) {
                router.request("/chat/a", "r" + requests++);
            }
            serve();
        }
    }

    private int arrived(int port) {
        return arrivals.getOrDefault(port, 0);
    }

    private void askForRest() {
        router.request("/chat/a", "first");
        serve();
        assertEquals(arrived(RESTING_PORT), 1);
    }

    /** Guards against servers that are turned to all through the rest that they have asked for. */
    @Test
    public void serverGetsTheRestThatItAsksFor() {
        router.register(other);
        askForRest();
        run(REACTION_MILLIS, true);
        int before = arrived(RESTING_PORT);
        run(REST_MILLIS - REACTION_MILLIS, true);
        int rested = arrived(RESTING_PORT) - before;
        assertTrue(rested <= ALLOWED, rested + " requests in the time of rest");
        assertEquals(arrived(OTHER_PORT), requests + 1, "the other server answers all requests");
    }

    /** Guards against rest that a sign of life, a reload of the registrations or another registration ends. */
    @Test
    public void onlyTimeOrAnotherIncarnationEndsARest() {
        router.register(other);
        askForRest();
        for (int i = 0; i < 10; i++) {
            router.unregister(resting);
            router.register(resting);
            router.register(resting.withState(ServerState.READY));
            run(200, true);
        }
        assertEquals(arrived(RESTING_PORT), 1);
        run(2_000, true);
        assertTrue(arrived(RESTING_PORT) > 1, "it gets requests after its rest");
    }

    /** Guards against rest that outlives the incarnation that has asked for it. */
    @Test
    public void anotherIncarnationDoesNotRest() {
        askForRest();
        router.register(TestServers.incarnation(resting, "a1-2"));
        run(100, true);
        assertTrue(arrived(RESTING_PORT) > 1);
    }

    /** Guards against callers who wait for a server that they know will not take them, or who return too early. */
    @Test
    public void requestThatNobodyCanTakeIsRefusedUntilTheRestEnds() {
        askForRest();
        run(500, false);
        FakeClient client = router.request("/chat/a", "refused");
        assertEquals(client.status(), 503);
        double seconds = Double.parseDouble(client.header("Retry-After"));
        assertTrue(seconds >= 2.4 && seconds <= 2.5 * 1.5, seconds + " s");
        assertEquals(arrived(RESTING_PORT), 1);
    }

    /** Guards against callers who are told to wait for a rest although another server takes requests. */
    @Test
    public void restDoesNotDelayCallersWhileAnotherServerIsOpen() {
        askForRest();
        router.register(other);
        router.publish(StandInConfig.small(2).withCardMb(80)); // no engine has memory for a request
        FakeClient client = router.request("/chat/a", "refused");
        assertEquals(client.status(), 503);
        double seconds = Double.parseDouble(client.header("Retry-After"));
        assertTrue(seconds >= 1 && seconds <= 1.5, seconds + " s");
    }

    /** Guards against started streams that are ended, or sent to a server in its rest, instead of waiting for it. */
    @Test
    public void startedStreamWaitsForTheEndOfTheRest() {
        FakeClient client = router.request("/chat/a", "r1");
        FakeHttpClient.Call call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        router.tick();
        handled = 1;
        askForRest();
        call.fail(new IllegalStateException("reset"));
        run(REST_MILLIS - 100, false);
        assertEquals(arrived(RESTING_PORT), 1);
        assertFalse(client.isClosed());
        run(400, false);
        assertTrue(arrived(RESTING_PORT) > 1, "the stream is sent again");
    }

    /** Guards against requests that begin at an engine which has turned one away in the middle of its path. */
    @Test
    public void namedEngineRestsToo() {
        router.register(other);
        router.request("/chat/a", "first");
        HttpFields fields = HeaderFixtures.resting("3", HeaderFixtures.refusal("first"));
        router.calls().get(0).complete(503, HeaderFixtures.naming("127.0.0.1:" + OTHER_PORT, fields));
        router.settle();
        assertEquals(router.calls().size(), 1, "neither engine gets the request");
        router.run(3_400);
        handled = 1;
        run(200, true);
        assertTrue(arrived(RESTING_PORT) + arrived(OTHER_PORT) > 0, "both are used again");
    }

    /** Guards against plain servers that get no rest because the others are busy. */
    @Test
    public void plainServerRests() {
        router.register(TestServers.plain("p1", RESTING_PORT));
        router.register(TestServers.plain("p2", 32));
        for (int i = 0; i < 20; i++) {
            router.request("/look/", "look" + i);
            serve();
        }
        assertTrue(arrived(RESTING_PORT) <= 1, arrived(RESTING_PORT) + " requests");
        assertEquals(arrived(32), 20);
    }

    /** Guards against exclusions without an end, and exceptions, because a value cannot be read. */
    @Test
    public void unreadableRestIsIgnored() {
        router.register(other);
        for (String value : List.of("Thu, 03 Dec 2026 18:00:00 GMT", "-3", "", "NaN")) {
            retryAfter = value;
            askForRest();
            arrivals.clear();
        }
        assertEquals(router.exceptions(), 0);
    }
}
