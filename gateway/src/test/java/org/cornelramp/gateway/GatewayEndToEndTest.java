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

/** A gateway before stand-ins of the users' platform: what clients get and what backend servers see. */
public class WholePathTest {
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

    private void behave(Behaviour behaviour) {
        for (StandInServer server :
                new StandInServer[] {fixture.firstEngine, fixture.secondEngine, fixture.firstApp, fixture.secondApp}) {
            server.setBehaviour(behaviour);
        }
    }

    @Test
    public void passesAStreamOnWithItsHeadersAndKeepsTheKey() throws Exception {
        HttpResponse<String> answer = fixture.client().send("/chat/a?b=%20c", "r1", "hello");
        assertEquals(answer.statusCode(), 200);
        assertEquals(answer.body(), FIVE_EVENTS);
        assertEquals(answer.headers().firstValue("x-attempt-id"), Optional.of("r1"));
        StandInServer.Received seen = Stream.of(fixture.firstEngine, fixture.secondEngine)
                .flatMap(engine -> engine.received().stream())
                .filter(request -> request.body().equals("hello"))
                .findFirst()
                .orElseThrow();
        assertEquals(seen.path(), "/chat/a?b=%20c");
        assertEquals(seen.fields().get("X-Tenant"), "org");
        assertFalse(seen.fields().toString().contains(GatewayFixture.KEY), "the key stays here");
        assertFalse(fixture.log().contains(GatewayFixture.KEY), "no key is logged");
    }

    @Test
    public void refusesWhatHasNoRouteOrNoKey() throws Exception {
        assertEquals(fixture.client().send("/nowhere/a", "r2", "x").statusCode(), 404);
        StandInClient stranger = new StandInClient(fixture.settings.requests(), "unknown");
        assertEquals(stranger.send("/chat/a", "r3", "x").statusCode(), 401);
        assertEquals(fixture.client().send("/look/a", "r4", "y".repeat(20_001)).statusCode(), 413);
        assertEquals(fixture.received("x"), 1, "only the first chat of the fixture arrived");
    }

    /**
     * The client reads a stream whose engine closes the connection in the middle of the third event. The gateway has
     * passed two whole events on; it asks another engine for those after them, so the client gets each event once.
     */
    @Test
    public void aStreamThatBreaksWithinAnEventGoesOnElsewhere() throws Exception {
        behave(Behaviour.ordinary().withBreakAfter(2));
        HttpResponse<String> answer = fixture.client().send("/chat/a", "r5", "breaks");
        assertEquals(answer.body(), FIVE_EVENTS);
        assertTrue(fixture.received("breaks") >= 2);
    }

    /**
     * A booking is sent, and its backend server closes the connection without an answer. Whether it has booked nobody
     * knows, so no other server gets it, and the client is not told that it has not run.
     */
    @Test
    public void aBookingOfUnknownOutcomeIsSentOnceAndNotDenied() throws Exception {
        behave(Behaviour.ordinary().withBreakAfter(0));
        HttpResponse<String> answer = fixture.client().send("/book/a", "r6", "once");
        assertEquals(answer.statusCode(), 502);
        assertEquals(fixture.received("once"), 1);
    }

    /** The first server says that it has not run the booking, as it is full; another one books it, once. */
    @Test
    public void aBookingThatDidNotRunGoesToAnotherServer() throws Exception {
        fixture.firstApp.setBehaviour(Behaviour.refusing());
        for (int i = 0; i < 6; i++) {
            assertEquals(fixture.client().send("/book/a", "r7-" + i, "b" + i).statusCode(), 200);
        }
        assertEquals(fixture.secondApp.received().size(), 6);
    }

    /** Every server refuses; the client hears at once that nothing ran, and when to come back. */
    @Test
    public void whatNobodyTakesIsRefusedWithATimeToComeBack() throws Exception {
        behave(Behaviour.refusing());
        HttpResponse<String> answer = fixture.client().send("/book/a", "r8", "full");
        assertEquals(answer.statusCode(), 503);
        assertTrue(StandInClient.retryAfter(answer).orElseThrow() > 0);
    }

    /**
     * A server answers with a failure of its own, and a second one, which a safe request may be sent to, does as well.
     * The client gets just that answer with its body; it is no refusal of ours, and no third server is asked.
     */
    @Test
    public void aServersOwnFailureIsPassedOnAsItIs() throws Exception {
        behave(Behaviour.ordinary().withStatus(500));
        HttpResponse<String> answer = fixture.client().send("/look/a", "r9", "fails");
        assertEquals(answer.statusCode(), 500);
        assertTrue(answer.body().startsWith("answer of a"), answer.body());
        assertEquals(fixture.received("fails"), 2);
    }

    /** A newer version takes the route away, and an older one is written after it. The route stays away. */
    @Test
    public void aConfigurationNeverSlipsBack() throws Exception {
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

    /** The store turns the gateway away; what it knows stays in force, and its clients notice nothing. */
    @Test
    public void servesOnWhileTheStoreRefuses() throws Exception {
        fixture.store.setRefuses(true);
        GatewayFixture.await(() -> fixture.log().contains("\"event\":\"lost\""), "the loss is noticed");
        assertEquals(fixture.client().send("/chat/a", "r10", "x").body(), FIVE_EVENTS);
        assertEquals(fixture.client().send("/book/a", "r11", "x").statusCode(), 200);
    }

    /** A server says that it is leaving; when the time has passed in which it may get work, it gets none. */
    @Test
    public void aLeavingServerGetsNothingNew() throws Exception {
        fixture.firstApp.register("draining");
        Thread.sleep(1_500); // longer than a leaving server may still be given work
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    fixture.client().send("/look/a", "r12-" + i, "late" + i).statusCode(), 200);
        }
        assertTrue(fixture.firstApp.received().stream()
                .noneMatch(request -> request.body().startsWith("late")));
    }

    /**
     * A stop is planned while a stream runs. The gateway says that it is not ready, lets the stream end, and refuses
     * what comes after the balancer has had time to notice.
     */
    @Test
    public void aPlannedStopCutsNoStream() throws Exception {
        behave(Behaviour.ordinary().withEvents(12).withPauseMillis(100));
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
     * Clients go on sending streams of two seconds to a gateway that has been told to stop. Those that it takes must
     * end whole within its grace time, so it takes none that could not; the others hear at once that nothing ran and
     * when to come back. Before, each stream sent in the last seconds was cut in the middle.
     */
    @Test
    public void whatIsSentDuringAStopIsServedWholeOrRefused() throws Exception {
        behave(Behaviour.ordinary().withEvents(20).withPauseMillis(100));
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
            answers.add(fixture.client().sendLater("/chat/a", "stop-" + i, "s" + i));
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
     * A gateway that stops takes one more stream and closes its connection after it. The process is killed before the
     * stream has ended, so the client sees the connection close. That must not look like the end of the answer.
     */
    @Test
    public void aStreamThatIsCutDuringAStopDoesNotLookWhole() throws Exception {
        behave(Behaviour.ordinary().withEvents(100).withPauseMillis(50));
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
        Thread.sleep(500); // some events go out
        fixture.gateway.close();
        assertFalse(answer.get().whole(), "a part of the answer looks whole: " + answer.get());
        stopping.handle((done, failure) -> null).get();
    }

    /**
     * An engine resets every stream that it is sent, while its reports are good and it has nothing under way, so that it
     * looks best. The first clients' streams are started anew on the other engine; soon new ones go there at once,
     * before the repeats are used up.
     */
    @Test
    public void anEngineThatBreaksOffWhatItIsSentIsLeftAlone() throws Exception {
        fixture.firstEngine.setBehaviour(Behaviour.ordinary().withBreakAfter(0));
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    fixture.client().send("/chat/a", "reset-" + i, "reset-" + i).body(), FIVE_EVENTS);
        }
        long atFaulty = fixture.firstEngine.received().stream()
                .filter(request -> request.body().startsWith("reset-"))
                .count();
        assertTrue(atFaulty < 15, atFaulty + " of 60 streams were sent to an engine that breaks every one off");
    }

    /**
     * Both engines crash and start again under their ids, empty. A client's stream is refused or served, and never cut;
     * the leader, which had given each of them orders, places the layers anew although their counts start at zero.
     */
    @Test
    public void enginesThatStartAgainUnderTheirIdsAreFilledAnew() throws Exception {
        fixture.firstEngine.restart();
        fixture.secondEngine.restart();
        GatewayFixture.await(
                () -> fixture.firstEngine.layers().equals("0-8")
                        && fixture.secondEngine.layers().equals("0-8"),
                "the layers are placed in the new lives");
        HttpResponse<String> answer = null;
        for (int i = 0; answer == null || answer.statusCode() == 503; i++) {
            assertTrue(i < 50, "still refused");
            answer = fixture.client().send("/chat/a", "again-" + i, "x");
            Thread.sleep(50);
        }
        assertEquals(answer.body(), FIVE_EVENTS);
    }

    /**
     * Someone else writes registrations of another form, one of them at the address of an engine, and repeats them. The
     * servers that are there hold, and an engine that registers after them is heard of.
     */
    @Test
    public void registrationsOfAnotherWriterDisturbNobody() throws Exception {
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
