package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.peer.DemandSection;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.Test;

/** Which engines a router prefers for prompts with a shared beginning, and what it tells its peers of them. */
public class PromptPrefixUseTest {
    private static final String ENABLED = ",\"promptPrefix\":{\"enabled\":true}";

    private RouterSimulation router;
    private int sent;

    private void start(String settings, String... engines) {
        router = new RouterSimulation(StandInConfig.small(1), settings, 1);
        sent = 0;
        for (String engine : engines) {
            router.register(engine(engine));
        }
        router.run(300);
    }

    private static BackendServer engine(String id) {
        return RouterSimulation.engine(id, 100 + id.charAt(0), 0, 8);
    }

    /** Sends a request with a shared part of 800 tokens and one of its own; returns what its engine received. */
    private FakeHttpClient.Call send(String part) {
        String id = "r" + sent;
        router.request(
                "/chat/a",
                HeaderFixtures.prompting(
                        part + ":800,f" + sent + ":100", HeaderFixtures.counting(900, 10, HeaderFixtures.request(id))),
                id.getBytes(StandardCharsets.UTF_8));
        return router.calls().get(sent++);
    }

    private void deliver(FakeHttpClient.Call call, int request) {
        router.run(100); // an event in the millisecond of the start does not count as one of this attempt
        call.events("r" + request, "id: 0\ndata: x\n\n");
        router.run(100);
    }

    /** Sends such a request while the engine with the port is a little slower, so that the load speaks for another. */
    private FakeHttpClient.Call sendWithSlow(int port, String part) {
        router.fleet().registry().servers().stream()
                .filter(server -> server.address().port() == port)
                .forEach(server -> router.fleet().loads().setSlowdown(server.id(), 1.05, router.now()));
        return send(part);
    }

    private PrefixSketch told() {
        return router.peerUpdate().demandSection().prefixes();
    }

    private void receive(long number, PrefixSketch sketch) {
        PeerUpdate.Sender peer = new PeerUpdate.Sender("g2", 1, new DataCentre("dc2"));
        router.handle(new RouterEvent.PeerUpdateReceived(
                PeerUpdate.of(peer, number, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE)
                        .withDemandSection(DemandSection.NONE.withPrefixes(sketch))));
    }

    /** Guards against deployments whose choices or messages change although their settings do not enable the function. */
    @Test
    public void nothingChangesUnlessEnabled() {
        start("", "a", "b");
        FakeHttpClient.Call first = send("1");
        deliver(first, 0);
        assertFalse(sendWithSlow(first.port(), "1").port() == first.port());
        router.run(100);
        assertEquals(router.peerUpdate().demandSection(), DemandSection.NONE);
        assertEquals(router.linesWith("prompt prefix"), 0);
    }

    /** Guards against holders that are not used, that count before they have read, or after their request has ended. */
    @Test
    public void requestFollowsItsPartWhileTheHolderRuns() {
        start(ENABLED, "a", "b");
        FakeHttpClient.Call first = send("1");
        router.run(100);
        assertTrue(told().isEmpty(), "the prompt has not been read");
        deliver(first, 0);
        assertFalse(told().isEmpty());
        assertFalse(sendWithSlow(first.port(), "2").port() == first.port(), "nothing is shared");
        FakeHttpClient.Call third = sendWithSlow(first.port(), "1");
        assertEquals(third.port(), first.port());
        deliver(third, 2);
        third.events("r2", "event: end\ndata: x\n\n");
        first.events("r0", "event: end\ndata: x\n\n");
        third.succeed();
        first.succeed();
        router.run(200);
        assertTrue(told().isEmpty());
        assertEquals(router.linesWith("\"event\":\"prompt prefix\""), 1);
    }

    /** Guards against reports of peers that do not count, or that count after the peer has become silent. */
    @Test
    public void peersHolderCountsUntilThePeerIsSilent() {
        start(ENABLED, "b");
        deliver(send("1"), 0);
        PrefixSketch ofB = told();
        assertFalse(ofB.isEmpty());
        start(ENABLED, "a", "b");
        receive(1, ofB);
        assertEquals(sendWithSlow(100 + 'b', "1").port(), 100 + 'b');
        start(ENABLED, "a", "b");
        receive(1, ofB);
        router.run(PeerRotation.silenceMillis(0) + 100);
        assertEquals(sendWithSlow(100 + 'b', "1").port(), 100 + 'a');
    }

    /** Guards against a part that crashes servers and gathers requests on the next one. */
    @Test
    public void suspectedPartDoesNotCount() {
        start(ENABLED, "a");
        FakeHttpClient.Call crashing = send("bad");
        router.setReportFaults(server -> server.id().value().equals("a")
                ? Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "refused"))
                : Optional.empty());
        crashing.fail(new EOFException("closed"));
        router.run(400);
        router.unregister(engine("a"));
        router.run(3_000);
        sent = router.calls().size();
        router.register(engine("b"));
        router.register(engine("c"));
        FakeHttpClient.Call first = send("bad");
        deliver(first, sent - 1);
        assertTrue(told().isEmpty());
        assertFalse(sendWithSlow(first.port(), "bad").port() == first.port());
    }
}
