package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A gateway in front of stand-ins of the users' platform: what clients get and what backend servers receive. */
public class GatewayEndToEndTest {
    private static final String FIVE_EVENTS = IntStream.range(0, 5)
            .mapToObj(event -> "id: " + event + "\ndata: piece " + event + "\n\n")
            .collect(Collectors.joining());

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void setBehaviour(Behaviour behaviour) {
        for (StandInServer server :
                new StandInServer[] {fixture.firstEngine, fixture.secondEngine, fixture.firstApp, fixture.secondApp}) {
            server.setBehaviour(behaviour);
        }
    }

    @Test
    public void forwardsAStreamWithItsHeadersButNotTheKey() throws Exception {
        HttpResponse<String> answer = fixture.client().send("/chat/a?b=%20c", "r1", "hello");
        assertEquals(answer.statusCode(), 200);
        assertEquals(answer.body(), FIVE_EVENTS);
        assertEquals(answer.headers().firstValue("x-attempt-id"), Optional.of("r1"));
        StandInServer.ReceivedRequest forwarded = Stream.of(fixture.firstEngine, fixture.secondEngine)
                .flatMap(engine -> engine.received().stream())
                .filter(request -> request.body().equals("hello"))
                .findFirst()
                .orElseThrow();
        assertEquals(forwarded.path(), "/chat/a?b=%20c");
        assertEquals(forwarded.fields().get("X-Tenant"), "org");
        assertFalse(forwarded.fields().toString().contains(GatewayFixture.KEY), "the key is not forwarded");
        assertFalse(fixture.log().contains(GatewayFixture.KEY), "no key is logged");
    }

    @Test
    public void refusesRequestsWithoutRouteOrKey() throws Exception {
        assertEquals(fixture.client().send("/nowhere/a", "r2", "x").statusCode(), 404);
        StandInClient stranger = new StandInClient(fixture.settings.requests(), "unknown");
        assertEquals(stranger.send("/chat/a", "r3", "x").statusCode(), 401);
        assertEquals(fixture.client().send("/look/a", "r4", "y".repeat(20_001)).statusCode(), 413);
        assertEquals(fixture.received("x"), 1, "only the first chat of the fixture arrived");
    }

    /**
     * Guards against lost or duplicate events when an engine closes the connection in the middle of an event. The
     * gateway has forwarded two whole events and must request the following ones from another engine.
     */
    @Test
    public void streamThatBreaksWithinAnEventResumesOnAnotherEngine() throws Exception {
        setBehaviour(Behaviour.ordinary().withBreakAfter(2));
        HttpResponse<String> answer = fixture.client().send("/chat/a", "r5", "breaks");
        assertEquals(answer.body(), FIVE_EVENTS);
        assertTrue(fixture.received("breaks") >= 2);
    }

    /**
     * Guards against a booking that runs twice, and against a false report that it did not run: its backend server
     * closes the connection without a response, so the outcome is unknown.
     */
    @Test
    public void bookingOfUnknownOutcomeIsSentOnceAndNotReportedAsNotRun() throws Exception {
        setBehaviour(Behaviour.ordinary().withBreakAfter(0));
        HttpResponse<String> answer = fixture.client().send("/book/a", "r6", "once");
        assertEquals(answer.statusCode(), 502);
        assertEquals(fixture.received("once"), 1);
    }

    /** The first server states that it did not run the booking because it is full; another server runs it, once. */
    @Test
    public void bookingThatDidNotRunGoesToAnotherServer() throws Exception {
        fixture.firstApp.setBehaviour(Behaviour.refusing());
        for (int i = 0; i < 6; i++) {
            assertEquals(fixture.client().send("/book/a", "r7-" + i, "b" + i).statusCode(), 200);
        }
        assertEquals(fixture.secondApp.received().size(), 6);
    }

    /** All servers refuse; the client is told at once that the request did not run, and when to retry. */
    @Test
    public void requestThatAllServersRefuseIsRefusedWithRetryAfter() throws Exception {
        setBehaviour(Behaviour.refusing());
        HttpResponse<String> answer = fixture.client().send("/book/a", "r8", "full");
        assertEquals(answer.statusCode(), 503);
        assertTrue(StandInClient.retryAfter(answer).orElseThrow() > 0);
    }

    /**
     * A server responds with an error, and so does the second one that a safe request may be sent to. The client must
     * get that response with its body instead of a refusal of the gateway, and there is no third attempt.
     */
    @Test
    public void serverErrorIsForwardedUnchanged() throws Exception {
        setBehaviour(Behaviour.ordinary().withStatus(500));
        HttpResponse<String> answer = fixture.client().send("/look/a", "r9", "fails");
        assertEquals(answer.statusCode(), 500);
        assertTrue(answer.body().startsWith("answer of a"), answer.body());
        assertEquals(fixture.received("fails"), 2);
    }

    /**
     * Guards against a return to an older configuration that is written after a newer one: the route that the newer one
     * removed stays removed.
     */
    @Test
    public void olderConfigurationIsIgnored() throws Exception {
        fixture.store.publishConfig(GatewayFixture.config(5, "/talk/"));
        GatewayFixture.await(() -> status("/talk/a") == 200, "version 5 is in force");
        assertEquals(status("/chat/a"), 404);
        fixture.store.publishConfig(GatewayFixture.config(4, "/chat/"));
        GatewayFixture.await(() -> fixture.log().contains("older than the one in force"), "version 4 was read");
        assertEquals(status("/chat/a"), 404);
        assertEquals(status("/talk/a"), 200);
    }

    private int status(String path) {
        try {
            return fixture.client().send(path, "s" + System.nanoTime(), "s").statusCode();
        } catch (Exception e) {
            return -1;
        }
    }

    /**
     * The store refuses the gateway; the known configuration and servers stay in force, and clients are not affected.
     */
    @Test
    public void keepsServingWhileTheStoreRefuses() throws Exception {
        fixture.store.setUnavailable(true);
        GatewayFixture.await(() -> fixture.log().contains("\"event\":\"lost\""), "the loss is noticed");
        assertEquals(fixture.client().send("/chat/a", "r10", "x").body(), FIVE_EVENTS);
        assertEquals(fixture.client().send("/book/a", "r11", "x").statusCode(), 200);
    }

    /** A server announces that it leaves; once the time in which it may still get requests is over, it gets none. */
    @Test
    public void leavingServerGetsNoNewRequests() throws Exception {
        fixture.firstApp.register("draining");
        Thread.sleep(1_500); // longer than a leaving server may still get requests
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    fixture.client().send("/look/a", "r12-" + i, "late" + i).statusCode(), 200);
        }
        assertTrue(fixture.firstApp.received().stream()
                .noneMatch(request -> request.body().startsWith("late")));
    }

    /**
     * Guards against a planned shutdown that cuts a stream: the gateway reports that it is not ready and lets the
     * stream finish.
     */
    @Test
    public void plannedShutdownCutsNoStream() throws Exception {
        setBehaviour(Behaviour.ordinary().withEvents(12).withPauseMillis(100));
        var running = CompletableFuture.supplyAsync(() -> {
            try {
                return fixture.client().send("/chat/a", "r13", "long").body();
            } catch (Exception e) {
                return e.toString();
            }
        });
        GatewayFixture.await(() -> fixture.received("long") == 1, "the stream runs");
        fixture.gateway.beginStop();
        fixture.gateway.awaitStop();
        assertTrue(running.get().endsWith("id: 11\ndata: piece 11\n\n"), running.get());
    }

    /**
     * Guards against streams that are accepted late in a planned shutdown and then cut in the middle. Clients keep
     * sending streams of two seconds; each must either complete within the grace time, or be refused at once with the
     * information that it did not run and when to retry.
     */
    @Test
    public void requestsDuringAShutdownAreServedCompletelyOrRefused() throws Exception {
        setBehaviour(Behaviour.ordinary().withEvents(20).withPauseMillis(100));
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            try {
                fixture.gateway.beginStop();
                fixture.gateway.awaitStop();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            answers.add(fixture.client().sendAsync("/chat/a", "stop-" + i, "s" + i));
            Thread.sleep(300);
        }
        Set<Integer> statuses = new TreeSet<>();
        for (var answer : answers) {
            HttpResponse<String> one = answer.get();
            statuses.add(one.statusCode());
            if (one.statusCode() == 200) {
                assertTrue(one.body().endsWith("id: 19\ndata: piece 19\n\n"), one.body());
            } else {
                assertTrue(StandInClient.retryAfter(one).orElseThrow() > 0);
            }
        }
        assertEquals(statuses, Set.of(200, 503));
        stopped.get();
    }

    /**
     * Guards against a cut stream that looks complete. A stopping gateway accepts one more stream on a connection that
     * closes after the response, and the process is killed before the stream has ended; the client must be able to tell
     * this close from the end of the response.
     */
    @Test
    public void streamThatIsCutDuringAShutdownDoesNotLookComplete() throws Exception {
        setBehaviour(Behaviour.ordinary().withEvents(100).withPauseMillis(50));
        fixture.gateway.beginStop();
        CompletableFuture<Void> stopping = CompletableFuture.runAsync(() -> {
            try {
                fixture.gateway.awaitStop();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        GatewayFixture.await(() -> fixture.log().contains("stop begins"), "the gateway stops");
        var answer = new StandInCaller().send(fixture.settings.requests(), "/chat/a", "cut", 9_000);
        GatewayFixture.await(() -> fixture.received("cut") == 1, "the stream runs");
        Thread.sleep(500); // lets some events through
        fixture.gateway.close();
        assertFalse(answer.get().complete(), "a partial response looks complete: " + answer.get());
        stopping.handle((done, failure) -> null).get();
    }

    /**
     * Guards against an engine that attracts streams because it resets all of them: its reports are good and it has no
     * requests in progress, so it looks like the best choice. The first streams are retried on the other engine; new
     * ones must soon go there at once, before the retries are used up.
     */
    @Test
    public void engineThatResetsItsStreamsIsAvoided() throws Exception {
        fixture.firstEngine.setBehaviour(Behaviour.ordinary().withBreakAfter(0));
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    fixture.client().send("/chat/a", "reset-" + i, "reset-" + i).body(), FIVE_EVENTS);
        }
        long sentToFaultyEngine = fixture.firstEngine.received().stream()
                .filter(request -> request.body().startsWith("reset-"))
                .count();
        assertTrue(
                sentToFaultyEngine < 15,
                sentToFaultyEngine + " of 60 streams were sent to an engine that resets every one");
    }

    /**
     * Guards against engines that stay empty after a restart under the same id. Both engines crash and restart without
     * layers, and their counts of orders start at zero although the leader has already sent orders to each. The leader
     * must place the layers again; meanwhile a stream may be refused, but not cut.
     */
    @Test
    public void enginesRestartedUnderTheirIdsGetTheirLayersAgain() throws Exception {
        fixture.firstEngine.restart();
        fixture.secondEngine.restart();
        GatewayFixture.await(
                () -> fixture.firstEngine.layers().equals("0-8")
                        && fixture.secondEngine.layers().equals("0-8"),
                "the layers are placed on the restarted engines");
        HttpResponse<String> answer = null;
        for (int i = 0; answer == null || answer.statusCode() == 503; i++) {
            assertTrue(i < 50, "still refused");
            answer = fixture.client().send("/chat/a", "again-" + i, "x");
            Thread.sleep(50);
        }
        assertEquals(answer.body(), FIVE_EVENTS);
    }

    /**
     * Guards against invalid registrations of another writer, one of them with the address of an engine and some
     * written many times. The known servers must stay usable, and a later registration of an engine must still be read.
     */
    @Test
    public void invalidRegistrationsOfAnotherWriterAreIgnored() throws Exception {
        for (int i = 0; i < 100; i++) {
            fixture.store.register("stranger", "{\"service\":7,\"state\":\"resting\"}");
            fixture.store.register("other", "not json");
            fixture.store.register("no name !", "{}");
        }
        fixture.store.register(
                "thief",
                "{\"service\":\"else\",\"address\":\"" + fixture.firstEngine.address()
                        + "\",\"zone\":\"dc1\",\"slots\":1,\"state\":\"ready\"}");
        fixture.firstEngine.register("draining");
        GatewayFixture.await(() -> fixture.log().contains("unreadable"), "the records are read");
        for (int i = 0; i < 20; i++) {
            assertEquals(fixture.client().send("/chat/a", "calm-" + i, "calm").body(), FIVE_EVENTS);
            assertEquals(fixture.client().send("/book/a", "book-" + i, "calm").statusCode(), 200);
        }
    }
}
