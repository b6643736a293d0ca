package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A healthy engine whose responses get lost. */
public class LostResponseTest {
    /** Longer than the engine takes for the first event of a stream, so that later streams overtake the first one. */
    private static final long OVERTAKE_MILLIS = 300;

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
     * Guards against a stream that waits for a lost response until the client gives up, which shows as "broken off"
     * lines with "client gone", one attempt and no first event after 2,000 ms. The engine accepts the request and never
     * responds; the connection stays open, status requests are answered, and later streams to the engine begin and end.
     * The gateway must send the first one again, so that the client gets all of it.
     */
    @Test
    public void streamWhoseResponseIsLostIsSentAgain() throws Exception {
        fixture.engines.forEach(engine -> engine.dropAnswers(1));
        CompletableFuture<HttpResponse<String>> response = fixture.client().sendAsync("/chat/a", "lost", "lost");
        GatewayFixture.await(() -> fixture.received("lost") == 1, "the engine has the request");
        fixture.engines.forEach(engine -> engine.dropAnswers(0));
        Thread.sleep(OVERTAKE_MILLIS);
        for (int i = 0; i < 3; i++) {
            assertEquals(fixture.client().send("/chat/a", "later-" + i, "later").statusCode(), 200);
        }
        assertTrue(
                response.get().body().endsWith("id: 4\ndata: piece 4\n\n"),
                response.get().body());
        assertEquals(fixture.received("lost"), 2);
    }
}
