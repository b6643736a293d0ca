package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Streams that have begun and lose their engines, while one repeat is left within two seconds or many are. */
public class BegunStreamTest {
    private static final String LAST_EVENT = "id: 4\ndata: piece 4\n\n";

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture(",\"retries\":{\"ratio\":0,\"reserve\":5,\"windowSeconds\":2}");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void breakAfter(int events) {
        Behaviour behaviour = Behaviour.ordinary().withBreakAfter(events);
        fixture.firstEngine.setBehaviour(behaviour);
        fixture.secondEngine.setBehaviour(behaviour);
    }

    /**
     * Engines cut a stream after its first events, and again after the next ones. The first time it goes on with the only
     * repeat. The second time none is left: the client's stream stands still until one is free again and then goes on,
     * so that the client gets the whole answer. Closed at once, it would have lost it.
     */
    @Test
    public void aBegunStreamWaitsForARepeat() throws Exception {
        breakAfter(1);
        CompletableFuture<HttpResponse<String>> answer = fixture.client().sendLater("/chat/a", "waits", "waits");
        GatewayFixture.await(() -> fixture.log().contains("no repeat left"), "the repeats are used up");
        assertEquals(fixture.received("waits"), 2);
        breakAfter(-1);
        assertWhole(answer.get().body());
        assertEquals(fixture.received("waits"), 3);
    }

    /** Sends a stream whose first run lasts long enough to be seen before an engine cuts it after two events. */
    private CompletableFuture<HttpResponse<String>> begin(String id) throws Exception {
        Behaviour slow = Behaviour.ordinary().withPauseMillis(400).withBreakAfter(2);
        fixture.engines.forEach(engine -> engine.setBehaviour(slow));
        CompletableFuture<HttpResponse<String>> answer = fixture.client().sendLater("/chat/a", id, id);
        GatewayFixture.await(() -> fixture.received(id) >= 1, "it runs");
        return answer;
    }

    private void startWithRepeats() throws Exception {
        fixture.close();
        fixture = new GatewayFixture(",\"retries\":{\"ratio\":0,\"reserve\":500,\"windowSeconds\":2}");
    }

    private static void assertWhole(String body) {
        assertTrue(body.endsWith(LAST_EVENT), body);
    }

    /** Guards against begun streams closed, or left without engines for good, because each engine refused them once. */
    @Test
    public void aBegunStreamGoesOnAfterAllEnginesHaveRefusedIt() throws Exception {
        startWithRepeats();
        CompletableFuture<HttpResponse<String>> answer = begin("refused");
        fixture.engines.forEach(engine -> engine.setBehaviour(Behaviour.refusing()));
        GatewayFixture.await(() -> fixture.log().contains("\"no path\""), "all engines have refused it");
        breakAfter(-1);
        assertWhole(answer.get().body());
    }

    /** Guards against begun streams closed after six runs although each brought events. */
    @Test
    public void aBegunStreamThatGetsOnIsCarriedOn() throws Exception {
        startWithRepeats();
        Behaviour cutting = Behaviour.ordinary().withEvents(10).withBreakAfter(1);
        fixture.engines.forEach(engine -> engine.setBehaviour(cutting));
        String body = fixture.client().send("/chat/a", "cut", "cut").body();
        assertTrue(body.endsWith("id: 9\ndata: piece 9\n\n"), body);
    }

    /** Guards against streams that are run for ever although no run brings an event. */
    @Test
    public void aBegunStreamThatNeverGetsOnEnds() throws Exception {
        startWithRepeats();
        CompletableFuture<HttpResponse<String>> answer = begin("stuck");
        breakAfter(0);
        assertThrows(ExecutionException.class, answer::get);
        GatewayFixture.await(() -> fixture.log().contains("all attempts are made"), "the reason is logged");
    }

    /** Guards against begun streams closed while no engine is there to carry them on. */
    @Test
    public void aBegunStreamWaitsForEnginesToComeBack() throws Exception {
        startWithRepeats();
        CompletableFuture<HttpResponse<String>> answer = begin("alone");
        fixture.engines.forEach(engine -> engine.register("draining"));
        GatewayFixture.await(() -> fixture.log().contains("\"no path\""), "no engine is there");
        breakAfter(-1);
        fixture.engines.forEach(StandInServer::restart);
        assertWhole(answer.get().body());
    }

    /** Guards against begun streams closed because their caller's key is taken away while they run and are carried on. */
    @Test
    public void aBegunStreamOutlivesTheRevocationOfItsKey() throws Exception {
        startWithRepeats();
        CompletableFuture<HttpResponse<String>> answer = begin("revoked");
        String withAnotherKey = GatewayFixture.config(2, "/chat/").replace(GatewayFixture.KEY, "another-key");
        fixture.store.publishConfig(withAnotherKey);
        GatewayFixture.await(() -> fixture.log().contains("\"version\":2"), "the key is taken away");
        assertWhole(answer.get().body());
        assertEquals(fixture.client().send("/chat/a", "later", "later").statusCode(), 401);
    }

    /** Guards against begun streams closed because bytes of the client's next request are taken for its leaving. */
    @Test
    public void aBegunStreamGoesOnWhenItsClientSendsAhead() throws Exception {
        startWithRepeats();
        fixture.engines.forEach(
                engine -> engine.setBehaviour(Behaviour.ordinary().withPauseMillis(500)));
        HostPort gateway = fixture.settings.requests();
        try (Socket client = new Socket(gateway.host(), gateway.port())) {
            client.getOutputStream().write(text("/chat/a", "begun"));
            GatewayFixture.await(() -> fixture.received("begun") == 1, "it runs");
            client.getOutputStream().write(text("/look/a", "ahead"));
            GatewayFixture.await(() -> fixture.received("ahead") == 1, "the stream is over and the next request runs");
            assertEquals(fixture.received("begun"), 1, "one run");
            assertFalse(fixture.log().contains("client gone"), fixture.log());
        }
    }

    private byte[] text(String path, String id) {
        return fixture.client().text(path, id).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * An engine cuts a stream after two events, and the engine that the gateway asks to carry it on answers with status
     * 400. The client of a begun stream can be given no status any more, so it is asked for elsewhere again, and the
     * client gets the whole stream. The gateway used to close the connection with "a repeat was answered with status 400".
     */
    @Test
    public void aBegunStreamGoesOnAfterARepeatThatIsAnsweredWithAnError() throws Exception {
        fixture.close();
        fixture = new GatewayFixture();
        breakAfter(2);
        fixture.engines.forEach(engine -> engine.rejectResumes(1));
        String whole = fixture.client().send("/chat/a", "rejected", "rejected").body();
        assertWhole(whole);
    }
}
