package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** An engine whose answers get lost while it is well. */
public class LostAnswerTest {
    /** Longer than the engine needs for the first event of a stream, so that later ones are seen to overtake. */
    private static final long LATER_MILLIS = 300;

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = GatewayFixture.ofHalves(1, "");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    /**
     * A client sends a stream. Its engine takes the request and the answer never comes; the connection stays open, the
     * engine answers questions, and streams that are sent to it later begin and end. The gateway asks for the first one
     * again, and the client gets it whole. It used to wait in silence until the client left: on a day of lost answers all
     * "broken off" lines said "client gone" after 2,000 ms, with one attempt and no first event.
     */
    @Test
    public void aStreamWhoseAnswerIsLostIsAskedForAgain() throws Exception {
        fixture.engines.forEach(engine -> engine.loseAnswers(1));
        CompletableFuture<HttpResponse<String>> answer = fixture.client().sendLater("/chat/a", "lost", "lost");
        GatewayFixture.await(() -> fixture.received("lost") == 1, "the engine has the request");
        fixture.engines.forEach(engine -> engine.loseAnswers(0));
        Thread.sleep(LATER_MILLIS);
        for (int i = 0; i < 3; i++) {
            assertEquals(fixture.client().send("/chat/a", "later-" + i, "later").statusCode(), 200);
        }
        assertTrue(
                answer.get().body().endsWith("id: 4\ndata: piece 4\n\n"),
                answer.get().body());
        assertEquals(fixture.received("lost"), 2);
    }
}
