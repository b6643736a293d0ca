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

/** Streams that lose their engines after the first events were sent, with one retry per two seconds or with many. */
public class StreamResumptionTest {
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
     * Guards against a stream that is closed because no retry is left at the moment. Engines cut the stream twice; the
     * first time it resumes with the only retry, the second time it must pause until a retry is available again and
     * then resume, so that the client gets the whole response.
     */
    @Test
    public void begunStreamWaitsForARetry() throws Exception {
        breakAfter(1);
        CompletableFuture<HttpResponse<String>> response = fixture.client().sendAsync("/chat/a", "waits", "waits");
        GatewayFixture.await(() -> fixture.log().contains("no repeat left"), "the retries are used up");
        assertEquals(fixture.received("waits"), 2);
        breakAfter(-1);
        assertWhole(response.get().body());
        assertEquals(fixture.received("waits"), 3);
    }

    /**
     * Sends a stream whose first attempt lasts long enough to be observed before an engine cuts it after two events.
     */
    private CompletableFuture<HttpResponse<String>> begin(String id) throws Exception {
        Behaviour slow = Behaviour.ordinary().withPauseMillis(400).withBreakAfter(2);
        fixture.engines.forEach(engine -> engine.setBehaviour(slow));
        CompletableFuture<HttpResponse<String>> response = fixture.client().sendAsync("/chat/a", id, id);
        GatewayFixture.await(() -> fixture.received(id) >= 1, "it runs");
        return response;
    }

    private void startWithManyRetries() throws Exception {
        fixture.close();
        fixture = new GatewayFixture(",\"retries\":{\"ratio\":0,\"reserve\":500,\"windowSeconds\":2}");
    }

    private static void assertWhole(String body) {
        assertTrue(body.endsWith(LAST_EVENT), body);
    }

    /** Guards against streams that are closed, or never resumed, because each engine has refused them once. */
    @Test
    public void begunStreamResumesAfterAllEnginesHaveRefusedIt() throws Exception {
        startWithManyRetries();
        CompletableFuture<HttpResponse<String>> response = begin("refused");
        fixture.engines.forEach(engine -> engine.setBehaviour(Behaviour.refusing()));
        GatewayFixture.await(() -> fixture.log().contains("\"no path\""), "all engines have refused it");
        breakAfter(-1);
        assertWhole(response.get().body());
    }

    /** Guards against streams that are closed after six attempts although each attempt delivered events. */
    @Test
    public void begunStreamThatMakesProgressIsAlwaysResumed() throws Exception {
        startWithManyRetries();
        Behaviour cutting = Behaviour.ordinary().withEvents(10).withBreakAfter(1);
        fixture.engines.forEach(engine -> engine.setBehaviour(cutting));
        String body = fixture.client().send("/chat/a", "cut", "cut").body();
        assertTrue(body.endsWith("id: 9\ndata: piece 9\n\n"), body);
    }

    /** Guards against streams that are retried forever although no attempt delivers an event. */
    @Test
    public void begunStreamWithoutProgressIsAborted() throws Exception {
        startWithManyRetries();
        CompletableFuture<HttpResponse<String>> response = begin("stuck");
        breakAfter(0);
        assertThrows(ExecutionException.class, response::get);
        GatewayFixture.await(() -> fixture.log().contains("all attempts are made"), "the reason is logged");
    }

    /** Guards against streams that are closed while no engine is available to resume them. */
    @Test
    public void begunStreamWaitsForEnginesToReturn() throws Exception {
        startWithManyRetries();
        CompletableFuture<HttpResponse<String>> response = begin("alone");
        fixture.engines.forEach(engine -> engine.register("draining"));
        GatewayFixture.await(() -> fixture.log().contains("\"no path\""), "no engine is there");
        breakAfter(-1);
        fixture.engines.forEach(StandInServer::restart);
        assertWhole(response.get().body());
    }

    /** Guards against streams that are closed because their caller's key is revoked before they are resumed. */
    @Test
    public void begunStreamSurvivesTheRevocationOfItsKey() throws Exception {
        startWithManyRetries();
        CompletableFuture<HttpResponse<String>> response = begin("revoked");
        String withAnotherKey = GatewayFixture.config(2, "/chat/").replace(GatewayFixture.KEY, "another-key");
        fixture.store.publishConfig(withAnotherKey);
        GatewayFixture.await(() -> fixture.log().contains("\"version\":2"), "the key is revoked");
        assertWhole(response.get().body());
        assertEquals(fixture.client().send("/chat/a", "later", "later").statusCode(), 401);
    }

    /** Guards against streams that are closed because bytes of a pipelined request are mistaken for a disconnect. */
    @Test
    public void begunStreamContinuesWhenItsClientPipelinesARequest() throws Exception {
        startWithManyRetries();
        fixture.engines.forEach(
                engine -> engine.setBehaviour(Behaviour.ordinary().withPauseMillis(500)));
        HostPort gateway = fixture.settings.requests();
        try (Socket client = new Socket(gateway.host(), gateway.port())) {
            client.getOutputStream().write(text("/chat/a", "begun"));
            GatewayFixture.await(() -> fixture.received("begun") == 1, "it runs");
            client.getOutputStream().write(text("/look/a", "ahead"));
            GatewayFixture.await(
                    () -> fixture.received("ahead") == 1, "the stream has ended and the next request runs");
            assertEquals(fixture.received("begun"), 1, "one attempt");
            assertFalse(fixture.log().contains("client gone"), fixture.log());
        }
    }

    private byte[] text(String path, String id) {
        return fixture.client().rawRequest(path, id).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Guards against a stream that is closed because the attempt to resume it is answered with status 400. A status can
     * no longer be sent to the client of a stream that has begun, so the gateway must try another engine. The engines
     * cut the stream after two events and reject one attempt to resume it.
     */
    @Test
    public void begunStreamResumesAfterARetryIsAnsweredWithAnError() throws Exception {
        fixture.close();
        fixture = new GatewayFixture();
        breakAfter(2);
        fixture.engines.forEach(engine -> engine.rejectResumes(1));
        String whole = fixture.client().send("/chat/a", "rejected", "rejected").body();
        assertWhole(whole);
    }
}
