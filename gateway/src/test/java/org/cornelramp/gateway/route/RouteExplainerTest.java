package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.Test;

/**
 * What a router says about its decisions. Load: streams of two priorities on two engines, and plain requests on three
 * servers that eight gateways share.
 */
public class RouteExplainerTest {
    private static final String SETTINGS = GatewayFixture.MANY_RETRIES + ",\"promptPrefix\":{\"enabled\":true}";
    private static final int SLOTS = 8;

    private static RouterSimulation start() {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1), SETTINGS, 1);
        router.publish(PlainSlotWaitTest.withPriorities(2));
        router.tick();
        router.register(RouterSimulation.engine("a1", 11, 0, 8));
        router.register(RouterSimulation.engine("b1", 12, 0, 8));
        for (int i = 1; i <= 3; i++) {
            router.register(TestServers.plain("p" + i, 30 + i));
        }
        for (int i = 2; i <= 8; i++) {
            RouterSimulation peer = new RouterSimulation("g" + i, StandInConfig.small(1), SETTINGS, i);
            router.handle(new RouterEvent.PeerUpdateReceived(peer.peerUpdate()));
        }
        return router;
    }

    private static HttpFields fields(String id) {
        return HeaderFixtures.prompting(
                "ab:400,c" + id.length() + ":10", HeaderFixtures.counting(410, 10, HeaderFixtures.request(id)));
    }

    private static RouteExplanation explain(RouterSimulation router, String path, String id) {
        FakeClient client = new FakeClient(router.route(path), fields(id), path, new byte[0], router.now());
        CompletableFuture<RouteExplanation> answer = new CompletableFuture<>();
        router.handle(new RouterEvent.ExplanationRequested(client.exchange().request(), answer));
        assertEquals(client.status(), 0);
        return answer.join();
    }

    /** Sends requests of all kinds; returns what the servers received and what the clients got. */
    private static List<Object> run(boolean explaining) {
        RouterSimulation router = start();
        List<Object> outcome = new ArrayList<>();
        List<FakeClient> clients = new ArrayList<>();
        String[] paths = {"/chat/a", "/look/a", "/urgent/a", "/book/a", "/look/b"};
        for (int i = 0; i < 60; i++) {
            String path = paths[i % paths.length];
            if (explaining) {
                RouteExplanation first = explain(router, path, "asked" + i);
                assertEquals(explain(router, path, "asked" + i), first);
            }
            clients.add(router.request(path, fields("r" + i), new byte[0]));
            router.run(i % 3 == 0 ? 40 : 0);
            if (i % 7 == 6) {
                FakeHttpClient.Call call = router.calls().get(i / 7);
                String id = HeaderFixtures.requestId(call::header);
                call.complete(
                        i % 2 == 0 ? 503 : 200, i % 2 == 0 ? HeaderFixtures.refusal(id) : HeaderFixtures.answer(id));
                router.settle();
            }
        }
        router.run(2_500);
        router.calls().forEach(call -> outcome.add(HeaderFixtures.requestId(call::header) + " to " + call.port()));
        clients.forEach(client -> outcome.add(client.status() + " " + client.isComplete()));
        outcome.add(router.peerUpdate().loads());
        outcome.add(router.peerUpdate().demandSection());
        outcome.add(router.peerUpdate().retryLoans());
        assertEquals(router.exceptions(), 0);
        return outcome;
    }

    /**
     * Guards against explanations that change what is decided afterwards: a random draw, a share, a load, a latency, the
     * retry budget, an entry of a prompt, or a recent start.
     */
    @Test
    public void explanationsChangeNoDecision() {
        List<Object> explained = run(true);
        assertEquals(explained, run(false));
        assertTrue(explained.stream().anyMatch(line -> line.equals("503 true")), "some requests are refused");
    }

    /** Guards against an explanation by other rules than those of the decision. */
    @Test
    public void choiceIsThatOfTheNextRequest() {
        RouterSimulation router = start();
        for (int i = 0; i < 2 * SLOTS; i++) {
            RouteExplanation explanation = explain(router, "/chat/a", "asked");
            assertEquals(explanation.verdict().decision(), "sent");
            router.request("/chat/a", fields("r" + i), new byte[0]);
            String server = router.calls().get(i).port() == 11 ? "a1" : "b1";
            assertEquals(explanation.choice(), Optional.of(server + "=0-8"));
            assertTrue(explanation.candidates().stream()
                    .anyMatch(candidate -> candidate.server().equals(server)
                            && candidate.costMillis().isPresent()));
        }
    }

    /**
     * Guards against an explanation that names a path with an engine that has broken a connection, which the decision
     * avoids.
     */
    @Test
    public void doubtfulEngineIsAvoidedAsByTheNextRequest() {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1), SETTINGS, 1);
        router.register(RouterSimulation.engine("a1", 11, 0, 8));
        router.request("/chat/a", fields("r0"), new byte[0]);
        router.register(RouterSimulation.engine("b1", 12, 0, 4));
        router.register(RouterSimulation.engine("c1", 13, "dc2", 4, 8));
        assertEquals(explain(router, "/chat/a", "asked").choice(), Optional.of("a1=0-8"));
        router.calls().get(0).reset();
        while (router.handleNext()) {
            assertTrue(router.queued() <= 2); // the probe that ends the doubt is not handled yet
        }
        RouteExplanation explanation = explain(router, "/chat/a", "asked");
        router.request("/chat/a", fields("next"), new byte[0]);
        FakeHttpClient.Call next = router.calls().get(router.calls().size() - 1);
        assertEquals(HeaderFixtures.requestId(next::header), "next");
        assertEquals(next.port(), 12);
        assertEquals(explanation.choice(), Optional.of("b1=0-4,c1=4-8"));
        List<RouteExplanation.Candidate> candidates = explanation.candidates();
        assertEquals(candidates.stream().map(RouteExplanation.Candidate::server).toList(), List.of("b1", "a1"));
        assertFalse(candidates.get(0).note().contains("broken"), candidates.toString());
        assertTrue(candidates.get(1).note().contains("broken"), candidates.toString());
    }

    private static String withPauseLimit(int version, int millis) {
        return PlainSlotWaitTest.withPriorities(version)
                .replace("\"kind\":\"streaming\",", "\"kind\":\"streaming\",\"gapAimMs\":" + millis + ",")
                .replace("\"step_ms\":1,", "\"step_ms\":100,");
    }

    /**
     * Guards against an explanation by which a priority counts as held back. The next stream, with a predicted pause of
     * 0.94 of the limit, would then have to wait until the pause is below 0.9 of it.
     */
    @Test
    public void explanationHoldsNoPriorityBack() {
        RouterSimulation router = start();
        router.publish(withPauseLimit(3, 1));
        for (int i = 0; i < 2; i++) {
            router.request("/urgent/a", fields("r" + i), new byte[0]);
        }
        router.run(100);
        RouteExplanation tooSlow = explain(router, "/chat/a", "asked");
        assertEquals(
                tooSlow.verdict().reason(),
                "Pauses would be too long, with the more urgent requests that are expected.");
        router.publish(withPauseLimit(4, 160));
        router.request("/chat/a", fields("next"), new byte[0]);
        assertEquals(router.calls().size(), 3);
        assertEquals(HeaderFixtures.requestId(router.calls().get(2)::header), "next");
    }

    /** Guards against a stream without capacity of which it is said that it would be sent or refused. */
    @Test
    public void streamWithoutCapacityWaits() {
        RouterSimulation router = start();
        for (int i = 0; i < 2 * SLOTS; i++) {
            router.request("/chat/a", fields("r" + i), new byte[0]);
        }
        RouteExplanation explanation = explain(router, "/chat/a", "asked");
        assertEquals(explanation.verdict().decision(), "waits");
        assertEquals(explanation.verdict().decidedBy(), "admission by priority");
        assertEquals(explanation.choice(), Optional.empty());
        assertFalse(explanation.candidates().isEmpty());
        assertTrue(explanation.figures().stream()
                .anyMatch(figure -> figure.name().equals("more urgent requests")
                        && figure.ageMillis().isPresent()));
        router.request("/chat/a", fields("waiting"), new byte[0]);
        assertEquals(
                explain(router, "/chat/a", "asked").verdict().reason(), "Requests wait that are at least as urgent.");
    }

    /** Guards against a refusal whose status and retry time differ from those that a client gets. */
    @Test
    public void refusalIsThatOfTheNextRequest() {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.register(TestServers.plain("p1", 31));
        RouteExplanation.Verdict verdict = explain(router, "/chat/a", "asked").verdict();
        FakeClient client = router.request("/chat/a", fields("r"), new byte[0]);
        assertEquals(verdict.status(), Optional.of(client.status()));
        double seconds = Double.parseDouble(client.header("Retry-After"));
        assertTrue(seconds >= verdict.retryAfterMillis().orElseThrow() / 1_000.0 - 0.01, "Retry-After: " + seconds);
        assertTrue(seconds <= verdict.maxRetryAfterMillis().orElseThrow() / 1_000.0 + 0.01, "Retry-After: " + seconds);
    }

    /** Guards against a stream that would be refused at once because its client leaves too early, and is said to wait. */
    @Test
    public void streamOutOfTimeIsRefused() {
        RouterSimulation router = start();
        for (int i = 0; i < 2 * SLOTS; i++) {
            router.request("/chat/a", fields("r" + i), new byte[0]);
        }
        router.publish(PlainSlotWaitTest.withPriorities(3).replaceFirst("\"timeoutMs\":9000", "\"timeoutMs\":10"));
        RouteExplanation.Verdict verdict = explain(router, "/urgent/a", "asked").verdict();
        FakeClient client = router.request("/urgent/a", fields("r"), new byte[0]);
        assertEquals(verdict.decision(), "refused");
        assertEquals(verdict.status(), Optional.of(client.status()));
        double seconds = Double.parseDouble(client.header("Retry-After"));
        assertTrue(seconds >= verdict.retryAfterMillis().orElseThrow() / 1_000.0 - 0.01, "Retry-After: " + seconds);
        assertTrue(seconds <= verdict.maxRetryAfterMillis().orElseThrow() / 1_000.0 + 0.01, "Retry-After: " + seconds);
    }

    /** Guards against a random choice that is told as certain, and against chances that are not those of the draws. */
    @Test
    public void sharedServersHaveChances() {
        RouteExplanation explanation = explain(start(), "/look/a", "asked");
        assertEquals(explanation.verdict().decision(), "sent");
        assertEquals(explanation.request().service(), new ServiceName(StandInConfig.PLAIN).value());
        assertEquals(explanation.candidates().size(), 3);
        assertEquals(
                explanation.candidates().stream()
                        .mapToDouble(candidate -> candidate.chance().orElseThrow())
                        .sum(),
                1.0,
                1e-9);
    }

    /** Guards against an answer that grows with the fleet. */
    @Test
    public void candidatesAreBounded() {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1), "", 1);
        for (int i = 0; i < 20; i++) {
            router.register(RouterSimulation.engine("e" + i, 100 + i, 0, 8));
        }
        RouteExplanation explanation = explain(router, "/chat/a", "asked");
        assertEquals(explanation.candidates().size(), RouteExplanation.MAX_CANDIDATES);
        assertEquals(explanation.candidatesLeftOut(), 20 - RouteExplanation.MAX_CANDIDATES);
    }

    /** Guards against work for an operator who has had an error already because the router was late. */
    @Test
    public void nothingIsComputedAfterTheTimeout() {
        RouterSimulation router = start();
        FakeClient client = new FakeClient(router.route("/look/a"), "late", router.now());
        CompletableFuture<RouteExplanation> answer = new CompletableFuture<>();
        answer.cancel(false);
        router.handle(new RouterEvent.ExplanationRequested(client.exchange().request(), answer));
        assertTrue(answer.isCancelled());
        assertEquals(router.exceptions(), 0);
    }
}
