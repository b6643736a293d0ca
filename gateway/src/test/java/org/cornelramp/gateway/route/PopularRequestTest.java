package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A sound request that many callers send, and that is in progress on several servers which end for another reason. */
public class PopularRequestTest {
    private static final Optional<PlatformFault> REFUSED =
            Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "refused"));

    /** Rejections of one request by several servers that clear it. */
    private static final int ENOUGH = 4;

    private final Map<Integer, BackendServer> servers = new HashMap<>();
    private final Set<BackendServerId> dead = new HashSet<>();
    private RouterSimulation router;
    private int started;
    private int handled;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.NO_RETRIES, 1);
        router.setReportFaults(server -> dead.contains(server.id()) ? REFUSED : Optional.empty());
        servers.clear();
        dead.clear();
        started = 0;
        handled = 0;
        addServers(3);
    }

    private void addServers(int count) {
        for (int i = 0; i < count; i++) {
            BackendServer server = TestServers.plain("p" + started, 200 + started);
            servers.put(200 + started++, server);
            router.register(server);
        }
        router.run(20);
    }

    private void replaceServers() {
        servers.values().forEach(router::unregister);
        addServers(3);
    }

    private FakeClient send(String body) {
        return router.request("/book/a", "r" + router.calls().size(), body.getBytes(StandardCharsets.UTF_8));
    }

    private FakeHttpClient.Call nextCall() {
        return router.calls().get(handled++);
    }

    /** Sends copies of a request, which run on different servers, and lets each server answer. */
    private void answer(String body, int copies, int status) {
        int first = handled;
        for (int i = 0; i < copies; i++) {
            send(body);
        }
        for (int i = 0; i < copies; i++) {
            nextCall().complete(status, HeaderFixtures.answer("r" + (first + i)));
        }
        router.settle();
    }

    /** Sends three copies of a request, and lets the servers on which they run end at once. */
    private void endServersUnder(String body) {
        for (int i = 0; i < 3; i++) {
            send(body);
        }
        List<FakeHttpClient.Call> calls = List.of(nextCall(), nextCall(), nextCall());
        assertEquals(calls.stream().map(FakeHttpClient.Call::port).distinct().count(), 3);
        List<BackendServer> ending =
                calls.stream().map(call -> servers.get(call.port())).toList();
        ending.forEach(server -> dead.add(server.id()));
        calls.forEach(call -> call.fail(new EOFException("closed")));
        router.run(400);
        ending.forEach(router::unregister);
        addServers(3);
    }

    private void assertServed(String body) {
        FakeClient client = send(body);
        assertEquals(router.calls().size(), handled + 1, client.received());
    }

    private void assertRefused(String body) {
        FakeClient client = send(body);
        assertTrue(PoisonFleet.isSetAside(client), client.received());
    }

    /** Guards against a request without any answer that is taken for sound. */
    @Test
    public void requestThatNoServerHasAnsweredIsBlamed() {
        endServersUnder("new");
        assertRefused("new");
    }

    /** Guards against refusals of a request that was answered until its servers ended. */
    @Test
    public void requestThatHasJustSucceededIsNotBlamed() {
        answer("popular", 1, 200);
        endServersUnder("popular");
        assertServed("popular");
    }

    /** Guards against a request that has become deadly, and that answers of long before protect. */
    @Test
    public void requestThatSucceededLongBeforeIsBlamed() {
        answer("changed", 1, 200);
        router.run(2_100);
        endServersUnder("changed");
        assertRefused("changed");
    }

    /** Guards against refusals of a request that servers always reject, as one for a thing that is not there. */
    @Test
    public void requestThatWasJustRejectedOftenIsNotBlamed() {
        answer("missing", ENOUGH, 404);
        endServersUnder("missing");
        assertServed("missing");
    }

    /** Guards against a few rejections, which may come before a request is run, that clear it. */
    @Test
    public void requestThatWasRejectedSeldomIsBlamed() {
        answer("poison", ENOUGH - 1, 404);
        endServersUnder("poison");
        assertRefused("poison");
    }

    /** Guards against a single server that rejects all requests, and by that clears each of them. */
    @Test
    public void requestThatOneServerHasRejectedIsBlamed() {
        servers.values().stream().skip(1).forEach(router::unregister);
        answer("poison", ENOUGH + 1, 404);
        replaceServers();
        endServersUnder("poison");
        assertRefused("poison");
    }

    /** Guards against servers that are overloaded or fail, and clear what they have not run. */
    @Test
    public void requestThatFailedOftenIsBlamed() {
        answer("poison", ENOUGH + 1, 500);
        answer("poison", ENOUGH + 1, 429);
        replaceServers();
        endServersUnder("poison");
        assertRefused("poison");
    }

    /** Guards against rejections before and after a crash that are counted together. */
    @Test
    public void rejectionsCountSinceTheLastCrash() {
        answer("poison", ENOUGH - 1, 404);
        endServersUnder("other");
        endServerUnder("poison");
        answer("poison", 1, 404);
        addServers(1);
        endServersUnder("poison");
        assertRefused("poison");
    }

    /** Guards against old rejections that do not clear of a crash, and do so with one that comes after it. */
    @Test
    public void rejectionsOfLongBeforeACrashDoNotCountAfterIt() {
        answer("poison", ENOUGH, 404);
        router.run(2_100);
        endServerUnder("poison");
        answer("poison", 1, 404);
        replaceServers();
        endServersUnder("poison");
        assertRefused("poison");
    }

    /** Sends a request, and lets the server on which it runs end. */
    private void endServerUnder(String body) {
        FakeHttpClient.Call crashed = sendOne(body);
        dead.add(servers.get(crashed.port()).id());
        crashed.fail(new EOFException("closed"));
        router.run(400);
        router.unregister(servers.get(crashed.port()));
    }

    private FakeHttpClient.Call sendOne(String body) {
        send(body);
        return nextCall();
    }
}
