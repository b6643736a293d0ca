package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.poison.BlameThresholds;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What callers get of one gateway for a request under which servers have crashed. */
public class PoisonGuardTest {
    private static final Optional<PlatformFault> REFUSED =
            Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "refused"));

    /** Crashes after which requests with a part that was at all of them are refused. */
    private static final int PART_CRASHES = BlameThresholds.INFERRED.partCrashes();

    private final Set<BackendServerId> dead = new HashSet<>();
    private RouterSimulation router;
    private int servers;
    private int handled;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
        router.setReportFaults(server -> dead.contains(server.id()) ? REFUSED : Optional.empty());
        dead.clear();
        servers = 0;
        handled = 0;
    }

    private FakeClient send(String path, String id, String body) {
        return router.request(path, id, body.getBytes(StandardCharsets.UTF_8));
    }

    private FakeHttpClient.Call nextCall() {
        return router.calls().get(handled++);
    }

    /** Adds a server, and returns it. */
    private BackendServer addServer(boolean engine) {
        servers++;
        BackendServer server = engine
                ? RouterSimulation.engine("e" + servers, 100 + servers, 0, 8)
                : TestServers.plain("p" + servers, 200 + servers);
        router.register(server);
        router.run(300);
        return server;
    }

    private void crash(FakeHttpClient.Call call, BackendServer server) {
        dead.add(server.id());
        call.fail(new EOFException("closed"));
        router.run(400);
        router.unregister(server);
    }

    /** Lets plain servers crash one after the other, each under the next arrival of a request. */
    private void crashPlainServers(int count, String body) {
        for (int i = 0; i < count; i++) {
            BackendServer server = addServer(false);
            FakeClient client = send("/book/a", "crash" + body + i, body);
            crash(nextCall(), server);
            assertEquals(client.status(), 502, "it may have run");
        }
    }

    /** Guards against requests that are sent on, held, or refused without a reason after three crashes. */
    @Test
    public void requestIsRefusedAtOnceAfterThreeCrashes() {
        crashPlainServers(3, "poison");
        addServer(false);
        FakeClient client = send("/book/a", "again", "poison");
        assertEquals(client.status(), 503);
        assertTrue(PoisonFleet.isSetAside(client), client.received());
        assertTrue(Double.parseDouble(client.header("Retry-After")) >= 500, client.header("Retry-After"));
        assertEquals(router.calls().size(), handled, "no server gets it");
    }

    /** Guards against refusals of other requests of the same caller, to the same path or with the same body. */
    @Test
    public void otherRequestsOfTheCallerAreServed() {
        crashPlainServers(3, "poison");
        addServer(false);
        send("/book/a", "r1", "other");
        send("/book/b", "r2", "poison");
        assertEquals(router.calls().size(), handled + 2);
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {{500}, {504}, {400}, {404}, {429}};
    }

    /** Guards against a server's own failure, which says nothing about the request, that clears it of its crashes. */
    @Test(dataProvider = "failures")
    public void failedRunClearsNothing(int status) {
        crashPlainServers(2, "poison");
        BackendServer failing = addServer(false);
        send("/book/a", "failed", "poison");
        nextCall().complete(status, HeaderFixtures.answer("failed"));
        router.settle();
        router.unregister(failing);
        crashPlainServers(1, "poison");
        addServer(false);
        assertTrue(PoisonFleet.isSetAside(send("/book/a", "again", "poison")));
    }

    /** Guards against a stream that had nothing left to send, so that nothing was run, and that clears its request. */
    @Test
    public void streamWithoutAnEventClearsNothing() {
        crashEngines(2);
        BackendServer ended = addServer(true);
        send("/chat/a", "empty", "poison");
        nextCall().complete(200, HeaderFixtures.answer("empty"));
        router.settle();
        router.unregister(ended);
        crashEngines(1);
        addServer(true);
        assertTrue(PoisonFleet.isSetAside(send("/chat/a", "again", "poison")));
    }

    private void crashEngines(int count) {
        for (int i = 0; i < count; i++) {
            BackendServer engine = addServer(true);
            FakeClient client = send("/chat/a", "crash" + servers, "poison");
            crash(nextCall(), engine);
            handled = router.calls().size(); // the engine that has crashed is tried once more
            client.leave();
            router.run(300);
        }
    }

    /** Guards against blame that a completed run has refuted. */
    @Test
    public void completedRunClearsARequestOfTheCrashesBefore() {
        crashPlainServers(2, "popular");
        addServer(false);
        FakeClient client = send("/book/a", "good", "popular");
        nextCall().complete(200, HeaderFixtures.answer("good"));
        router.settle();
        assertTrue(client.isComplete());
        crashPlainServers(1, "popular");
        addServer(false);
        send("/book/a", "again", "popular");
        assertEquals(router.calls().size(), handled + 1);
    }

    /** Guards against an operator who must wait ten minutes for a request that was refused by mistake. */
    @Test
    public void operatorClearsARequest() {
        crashPlainServers(3, "poison");
        addServer(false);
        FakeClient refused = send("/book/a", "refused", "poison");
        assertTrue(PoisonFleet.isSetAside(refused));
        router.handle(new RouterEvent.PoisonCleared(refused.exchange().request().fingerprint()));
        send("/book/a", "again", "poison");
        assertEquals(router.calls().size(), handled + 1);
    }

    /** Guards against a started stream that is sent on after the third crash, or looks complete when it ends. */
    @Test
    public void startedStreamBreaksOffAfterTheThirdCrash() {
        BackendServer server = addServer(true);
        FakeClient client = send("/chat/a", "r1", "poison");
        for (int event = 0; event < 3; event++) {
            FakeHttpClient.Call call = nextCall();
            assertEquals(call.port(), server.address().port());
            call.events("r1", "id: " + event + "\ndata: x\n\n");
            BackendServer next = addServer(true);
            crash(call, server);
            server = next;
        }
        assertEquals(router.calls().size(), handled, "no server gets it");
        assertTrue(client.isClosed());
        assertFalse(client.isComplete());
    }

    /**
     * Guards against requests that cannot be told apart: they were at the same two crashes, and would be at the third one
     * together as well.
     */
    @Test
    public void suspectsOfTheSameCrashesStartOnDifferentServers() {
        BackendServer server = addServer(true);
        send("/chat/a", "p", "poison");
        send("/chat/a", "i", "innocent");
        for (int crashes = 0; crashes < 2; crashes++) {
            FakeHttpClient.Call first = nextCall();
            FakeHttpClient.Call second = nextCall();
            assertEquals(first.port(), second.port(), "the only server");
            BackendServer next = addServer(true);
            if (crashes == 1) {
                addServer(true);
            }
            dead.add(server.id());
            first.fail(new EOFException("closed"));
            crash(second, server);
            server = next;
        }
        assertNotEquals(nextCall().port(), nextCall().port());
    }

    /** Guards against suspects that no server takes any more, because all have crashed once and come back under their ids. */
    @Test
    public void suspectStartsOnAServerThatHasComeBackUnderItsId() {
        BackendServer first = addServer(false);
        BackendServer second = addServer(false);
        for (int crashes = 0; crashes < 2; crashes++) {
            send("/book/a", "r" + crashes, "innocent");
            FakeHttpClient.Call call = nextCall();
            dead.add(call.port() == first.address().port() ? first.id() : second.id());
            call.fail(new EOFException("closed"));
            router.run(400);
        }
        dead.clear();
        router.run(3_500);
        send("/book/a", "again", "innocent");
        assertEquals(router.calls().size(), handled + 1);
    }

    /** Guards against copies of a suspect that crash several servers at once. */
    @Test
    public void copiesOfASuspectStartOneAfterTheOther() {
        crashPlainServers(2, "poison");
        addServer(false);
        addServer(false);
        router.run(1_000);
        send("/book/a", "r1", "poison");
        FakeHttpClient.Call call = nextCall();
        FakeClient copy = send("/book/a", "r2", "poison");
        assertEquals(router.calls().size(), handled, "it waits for the first");
        call.complete(200, HeaderFixtures.answer("r1"));
        router.run(100);
        nextCall().complete(200, HeaderFixtures.answer("r2"));
        router.settle();
        assertTrue(copy.isComplete());
    }

    /** Guards against a stream that is ended although each run makes progress, because its engines leave as planned. */
    @Test
    public void streamWhoseEnginesLeaveIsAlwaysResumed() {
        BackendServer server = addServer(true);
        FakeClient client = send("/chat/a", "r1", "long");
        for (int event = 0; event < 9; event++) {
            FakeHttpClient.Call call = nextCall();
            call.events("r1", "id: " + event + "\ndata: x\n\n");
            BackendServer next = addServer(true);
            router.register(server.withState(ServerState.DRAINING));
            dead.add(server.id());
            call.fail(new EOFException("closed"));
            router.run(400);
            router.unregister(server);
            server = next;
        }
        nextCall().complete(200, HeaderFixtures.answer("r1"));
        router.settle();
        assertTrue(client.isComplete());
    }

    /** Guards against refusals that never end. */
    @Test
    public void refusalEndsAfterTenMinutes() {
        crashPlainServers(3, "poison");
        router.pass(600_000);
        addServer(false);
        send("/book/a", "later", "poison");
        assertEquals(router.calls().size(), handled + 1);
    }

    private FakeClient sendPrompt(String id, String parts) {
        return router.request(
                "/chat/a",
                HeaderFixtures.prompting(parts, HeaderFixtures.request(id)),
                id.getBytes(StandardCharsets.UTF_8));
    }

    /** Lets engines crash one after the other, each under a new stream with these parts of its prompt and one of its own. */
    private void crashEngines(int count, String parts) {
        for (int i = 0; i < count; i++) {
            BackendServer engine = addServer(true);
            sendPrompt("crash" + servers, parts + ":10,f" + servers + ":1");
            crash(nextCall(), engine);
            router.run(3_000); // the caller gives up
            handled = router.calls().size();
        }
    }

    /** Guards against new requests that crash servers by a part of their prompts, and against refusals without a reason. */
    @Test
    public void requestsWithAPartAreRefusedAtOnceAfterEnoughCrashes() {
        crashEngines(PART_CRASHES, "bad");
        addServer(true);
        FakeClient client = sendPrompt("again", "bad:10,f:1");
        assertEquals(client.status(), 503);
        assertTrue(client.received().contains("crashed while they ran requests with a part of this prompt"));
        assertTrue(Double.parseDouble(client.header("Retry-After")) >= 500, client.header("Retry-After"));
        assertEquals(router.calls().size(), handled, "no server gets it");
        assertEquals(router.linesWith("servers have crashed under requests with part:bad"), 1);
        sendPrompt("own", "c:10,bad:1");
        assertEquals(router.calls().size(), handled + 1, "the last part is its own");
    }

    /** Guards against refusals of sound requests that hold some of the parts which were at the same crashes. */
    @Test
    public void requestWithAPartOfAGroupIsServed() {
        crashEngines(PART_CRASHES, "a:1,bad");
        addServer(true);
        assertEquals(sendPrompt("both", "bad:10,a:1,f:1").status(), 503);
        sendPrompt("one", "a:10,f:1");
        assertEquals(router.calls().size(), handled + 1);
    }

    /** Guards against blame of a part that runs have lived on since the crashes. */
    @Test
    public void runThatLivesClearsItsParts() {
        crashEngines(PART_CRASHES, "5a:10,bad");
        addServer(true);
        sendPrompt("lives", "5a:10,f:1");
        FakeHttpClient.Call call = nextCall();
        call.events("lives", "id: 0\ndata: x\n\n");
        router.run(600);
        sendPrompt("before", "bad:10,f:1");
        assertEquals(router.calls().size(), handled + 1, "no event shows yet that the run lives");
        call.events("lives", "id: 1\ndata: x\n\n");
        router.run(300);
        assertEquals(router.linesWith("\"fingerprint\":\"part:5a\",\"why\":\"a run has lived on it\""), 1);
        assertEquals(sendPrompt("again", "bad:10,f:1").status(), 503, "the other one is to blame");
    }

    /** Guards against a stream that had nothing left to send, so that nothing was run, and that clears its parts. */
    @Test
    public void streamWithoutAnEventClearsNoPart() {
        crashEngines(PART_CRASHES - 1, "bad");
        BackendServer ended = addServer(true);
        sendPrompt("empty", "bad:10,f:1");
        nextCall().complete(200, HeaderFixtures.answer("empty"));
        router.settle();
        router.unregister(ended);
        crashEngines(1, "bad");
        addServer(true);
        assertEquals(sendPrompt("again", "bad:10,f:1").status(), 503);
    }

    /** Guards against an operator who must wait ten minutes for a part that was refused by mistake. */
    @Test
    public void operatorClearsAPart() {
        crashEngines(PART_CRASHES, "bad");
        addServer(true);
        assertEquals(sendPrompt("refused", "bad:10,f:1").status(), 503);
        router.handle(new RouterEvent.PoisonCleared("part:bad"));
        sendPrompt("again", "bad:10,f:1");
        assertEquals(router.calls().size(), handled + 1);
    }
}
