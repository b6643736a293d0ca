package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Streams over engines that leave or are wrongly suspected of being dead, while the gateway has no retries unless
 * noted.
 */
public class LeavingAndSuspectedEngineTest {
    /** A stream that lasts longer than the time within which streams are moved off a leaving engine. */
    private static final Behaviour LONG_STREAM =
            Behaviour.ordinary().withEvents(60).withPauseMillis(50);

    private static final String LAST_EVENT = "id: 59\ndata: piece 59\n\n";

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = GatewayFixture.ofHalves(2, GatewayFixture.NO_RETRIES);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void setBehaviour(Behaviour behaviour) {
        fixture.engines.forEach(engine -> engine.setBehaviour(behaviour));
    }

    private void reportAllEnginesStalled() {
        for (StandInServer engine : fixture.engines) {
            fixture.engines.forEach(other -> engine.reportStalled(other.address()));
        }
    }

    /**
     * Whether an engine did not answer a status request; the log event depends on whether an event has just arrived.
     */
    private boolean hasMissedReport() {
        return fixture.log().contains("no report") || fixture.log().contains("answer missed");
    }

    /** Sends a stream, and waits until its path is logged. */
    private CompletableFuture<HttpResponse<String>> begin(String id) throws Exception {
        CompletableFuture<HttpResponse<String>> answer = fixture.client().sendAsync("/chat/a", id, id);
        GatewayFixture.await(() -> sent(id).find(), "the stream is sent");
        return answer;
    }

    private Matcher sent(String id) {
        Pattern line = Pattern.compile("\"sent\",\"id\":\"" + id + "\".*?\"path\":\"(e\\d)[^,\"]*,(e\\d)");
        return line.matcher(fixture.log());
    }

    /** The first or second engine on the path that a request was sent over. */
    private StandInServer engineOnPathOf(String id, int number) {
        Matcher found = sent(id);
        assertTrue(found.find(), fixture.log());
        return fixture.engines.stream()
                .filter(engine -> found.group(number).equals(engine.id()))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Guards against a gateway that cancels an attempt because the stream cannot be moved off a leaving engine, and
     * then closes the client's connection because no retry is left. The second engine on the path announces that it
     * leaves, and the order to move the stream is refused with status 409, since the engine that should take over has
     * no capacity. The leaving engine continues to serve, so one attempt must deliver the whole stream. The fault shows
     * as "not moved" followed by "attempt failed" with "it cannot move to another path" (22 times within 0.12 s) while
     * no server fails.
     */
    @Test
    public void streamThatCannotBeMovedStaysOnALeavingEngine() throws Exception {
        setBehaviour(LONG_STREAM.withMoveStatus(409));
        CompletableFuture<HttpResponse<String>> answer = begin("stays");
        engineOnPathOf("stays", 2).register("draining");
        HttpResponse<String> response = answer.get();
        assertTrue(fixture.log().contains("not moved"), "the gateway tried to move it");
        assertTrue(response.body().endsWith(LAST_EVENT), response.body());
        assertEquals(fixture.received("stays"), 1, "one attempt");
    }

    /**
     * The same for a stream that must not be sent twice, with retries left. No other engine can resume it, so a new
     * attempt would abort it; it must stay on its engine.
     */
    @Test
    public void streamThatMustNotBeRepeatedStaysOnALeavingEngine() throws Exception {
        fixture.close();
        fixture = GatewayFixture.ofHalves(2, "");
        fixture.store.publishConfig(GatewayFixture.ofHalvesConfig(2).jsonWithoutStreamResumption());
        GatewayFixture.await(() -> fixture.log().contains("\"version\":2"), "the configuration is in force");
        setBehaviour(LONG_STREAM.withMoveStatus(409));
        CompletableFuture<HttpResponse<String>> answer = begin("once");
        engineOnPathOf("once", 2).register("draining");
        assertTrue(answer.get().body().endsWith(LAST_EVENT), answer.get().body());
        assertTrue(fixture.log().contains("not moved"), "the gateway tried to move it");
        assertEquals(fixture.received("once"), 1, "one attempt");
    }

    /**
     * Guards against futile orders to move a stream off its first engine, which is impossible. The first engine
     * announces that it leaves. The fault is a gateway that orders the same path four times a second until the engine
     * accepts no more connections, and then cuts the stream; it shows as up to 11 "moves" lines of a stream with the
     * same path in both fields, followed by "not moved" with "Connection refused".
     */
    @Test
    public void streamIsNotMovedOffItsFirstEngine() throws Exception {
        setBehaviour(LONG_STREAM.withMoveStatus(409));
        CompletableFuture<HttpResponse<String>> answer = begin("first");
        engineOnPathOf("first", 1).register("draining");
        assertTrue(answer.get().body().endsWith(LAST_EVENT), answer.get().body());
        assertFalse(fixture.log().contains("\"moves\""), "an order to move it is sent");
        assertEquals(fixture.received("first"), 1, "one attempt");
    }

    /**
     * Guards against orders that are repeated four times a second to an engine that does not answer them, each over a
     * new connection ("not moved" with "Connection refused", 118 times). The second engine of the path leaves, and the
     * first one, which is about to exit, answers no order. The order must be tried once and the stream must stay.
     */
    @Test
    public void moveIsNotRetriedWhenTheFirstEngineDoesNotAnswer() throws Exception {
        setBehaviour(LONG_STREAM);
        CompletableFuture<HttpResponse<String>> answer = begin("deaf");
        engineOnPathOf("deaf", 1).setControlMuted(true);
        engineOnPathOf("deaf", 2).register("draining");
        assertTrue(answer.get().body().endsWith(LAST_EVENT), answer.get().body());
        assertEquals(fixture.log().split("\"event\":\"not moved\"", -1).length - 1, 1, "unanswered orders");
        assertEquals(fixture.received("deaf"), 1, "one attempt");
    }

    /**
     * Guards against an attempt that is cancelled on a live engine because it does not answer a status request and has
     * sent no event for 80 ms. The engines send an event every 150 ms and answer no status request. The events prove
     * that they are alive, so one attempt must deliver the whole stream.
     */
    @Test
    public void streamWithEventsIsNotCutForAnUnansweredStatusRequest() throws Exception {
        setBehaviour(Behaviour.ordinary().withEvents(20).withPauseMillis(150));
        fixture.engines.forEach(engine -> engine.setControlMuted(true));
        HttpResponse<String> answer = fixture.client().send("/chat/a", "slow", "slow");
        assertTrue(answer.body().endsWith("id: 19\ndata: piece 19\n\n"), answer.body());
        assertTrue(hasMissedReport(), "an engine did not answer a status request");
        assertEquals(fixture.received("slow"), 1, "one attempt");
    }

    /**
     * Guards against an attempt that is cancelled because an engine reports that another one stalls, as it may briefly
     * do after the other has recovered. The reported engine is suspected at once, regardless of recent events. The
     * events continue, so one attempt must deliver the whole stream.
     */
    @Test
    public void streamWithEventsIsNotCutForAReportOfAStall() throws Exception {
        setBehaviour(Behaviour.ordinary().withEvents(20).withPauseMillis(150));
        reportAllEnginesStalled();
        HttpResponse<String> answer = fixture.client().send("/chat/a", "stalls", "stalls");
        assertTrue(answer.body().endsWith("id: 19\ndata: piece 19\n\n"), answer.body());
        assertTrue(fixture.log().contains("work stalls there"), "the gateway suspected an engine");
        assertEquals(fixture.received("stalls"), 1, "one attempt");
    }

    /**
     * Guards against an attempt that is cancelled while no other path exists. The only engines report that all work
     * stalls, so the gateway suspects them. Their events still arrive at the usual interval of the stream (0.15 s), so
     * one attempt must deliver the whole stream.
     */
    @Test
    public void streamIsNotCutWhileThereIsNoOtherPath() throws Exception {
        fixture.close();
        fixture = GatewayFixture.ofHalves(1, GatewayFixture.NO_RETRIES);
        setBehaviour(Behaviour.ordinary().withEvents(8).withPauseMillis(150));
        reportAllEnginesStalled();
        HttpResponse<String> answer = fixture.client().send("/chat/a", "alone", "alone");
        assertTrue(answer.body().endsWith("id: 7\ndata: piece 7\n\n"), answer.body());
        assertTrue(fixture.log().contains("work stalls there"), "the gateway suspected an engine");
        assertEquals(fixture.received("alone"), 1, "one attempt");
    }

    /**
     * Guards against a stream that is cut after the first refused move ("not moved" with status 409, 203 of 845 moves).
     * The second engine on the path dies while no retry is left, and the engine that should take over dies at the same
     * moment, so the order to move the stream is refused. The gateway must move it to the third engine with those
     * layers, so that one attempt delivers the whole stream.
     */
    @Test
    public void streamMovesToAThirdEngineWhenTheSecondRefuses() throws Exception {
        fixture.close();
        fixture = GatewayFixture.ofHalves(3, GatewayFixture.NO_RETRIES);
        setBehaviour(Behaviour.ordinary().withEvents(4).withPauseMillis(900));
        CompletableFuture<HttpResponse<String>> answer = begin("around");
        StandInServer first = engineOnPathOf("around", 1);
        StandInServer dead = engineOnPathOf("around", 2);
        StandInServer next = fixture.engines.stream()
                .filter(engine -> engine.layers().equals(dead.layers()) && engine != dead)
                .findFirst()
                .orElseThrow();
        first.reportStalled(dead.address());
        first.refuseEngine(next.address());
        assertTrue(
                answer.get().body().endsWith("id: 3\ndata: piece 3\n\n"),
                answer.get().body());
        assertTrue(fixture.log().contains("\"moved\""), fixture.log());
        assertFalse(fixture.log().contains("it cannot move to another path"), fixture.log());
        assertEquals(fixture.received("around"), 1, "one attempt");
    }
}
