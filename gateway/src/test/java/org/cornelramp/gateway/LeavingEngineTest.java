package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
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

/** Streams that pass two engines, while the gateway has no repeat at all. */
public class LeavingEngineTest {
    /** Longer than the time within which streams leave an engine. */
    private static final Behaviour LONG = Behaviour.ordinary().withEvents(60).withPauseMillis(50);

    private static final String LAST_EVENT = "id: 59\ndata: piece 59\n\n";

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = GatewayFixture.ofHalves(",\"retries\":{\"ratio\":0,\"reserve\":0,\"windowSeconds\":2}");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void behave(Behaviour behaviour) {
        fixture.engines.forEach(engine -> engine.setBehaviour(behaviour));
    }

    /** The second engine on the path that a request was sent over. */
    private StandInServer secondOnPathOf(String id) {
        Pattern sent = Pattern.compile("\"sent\",\"id\":\"" + id + "\".*?\"path\":\"[^,\"]*,(e\\d)");
        Matcher found = sent.matcher(fixture.log());
        assertTrue(found.find(), fixture.log());
        return fixture.engines.stream()
                .filter(engine -> found.group(1).startsWith(engine.id()))
                .findFirst()
                .orElseThrow();
    }

    /**
     * A client reads a stream when the second engine on its path says that it will leave, as planned. The gateway orders
     * the stream to be moved, and the order is refused: the engine that should take over has no room. The engine that
     * leaves serves on, so the client gets the whole stream from one run. The gateway used to cut the run itself and,
     * without a repeat, closed the client's connection a few milliseconds after the order was refused. What showed it: on a
     * day of planned leaves "not moved" with status 409, each followed by "attempt failed" with "it cannot move to another
     * path", 22 of them within 0.12 s, while no server failed.
     */
    @Test
    public void aStreamThatCannotBeMovedStaysOnAnEngineThatLeaves() throws Exception {
        behave(LONG.withMoveStatus(409));
        CompletableFuture<HttpResponse<String>> answer = fixture.client().sendLater("/chat/a", "stays", "stays");
        GatewayFixture.await(() -> fixture.log().contains("\"sent\",\"id\":\"stays\""), "the stream is sent");
        secondOnPathOf("stays").register("draining");
        HttpResponse<String> whole = answer.get();
        assertTrue(fixture.log().contains("not moved"), "the gateway tried to move it");
        assertTrue(whole.body().endsWith(LAST_EVENT), whole.body());
        assertEquals(fixture.received("stays"), 1, "one run");
    }
}
