package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Invoke;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An operator stops an entry while a caller reads a stream and a clerk waits for a booking. Readiness falls at once,
 * so that the balancer turns away; requests that still come are told to go elsewhere; the stream and the booking end
 * whole, and only then does the entry count as drained.
 */
public class EntryDrainTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PROMPT = "refrigerator";

    private EntryFixture entry;
    private FakePipeline pipeline;
    private FakeService service;
    private final CountDownLatch hold = new CountDownLatch(1);

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL, FakeService.NAME));
        pipeline = new FakePipeline();
        service = new FakeService("s", 7);
        entry.add(pipeline.agent("a", 1, 0), pipeline.agent("b", 1, 1), pipeline.agent("c", 1, 2), service.agent);
    }

    @AfterMethod
    public void stop() {
        hold.countDown();
        entry.close();
    }

    @Test
    public void cutsNothingInProgressAndTakesNothingNew() throws Exception {
        String key = entry.mint(FakeService.NAME);
        String late = entry.mint(FakeService.NAME);
        CompletableFuture<HttpResponse<String>> booking = holdOne(key);
        InputStream stream = entry.open(entry.chat(PROMPT, 40, true));
        String text = new String(new byte[] {(byte) stream.read()}, StandardCharsets.UTF_8);

        entry.drain();
        assertEquals(entry.send(entry.request("/ready")).statusCode(), 503);
        HttpResponse<String> refused = entry.send(entry.chat(PROMPT, 2, false));
        assertEquals(JSON.readTree(refused.body()).path("kind").textValue(), "leaving");
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertFalse(entry.isDrained());

        text += new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(Sse.text(text), FakePipeline.expected(PROMPT, 40));
        assertTrue(Sse.isComplete(text));
        hold.countDown();
        assertEquals(booking.get(15, TimeUnit.SECONDS).body(), "booked sofa as 1");
        HttpResponse<String> keyed = entry.send(entry.book(FakeService.NAME, late, "sofa"));
        assertEquals(JSON.readTree(keyed.body()).path("outcome").textValue(), "not-run");
        EntryFixture.await(entry::isDrained);
        assertEquals(service.effects.get(), 1);
    }

    /** Starts a booking whose answer the agent keeps back until the test lets it go. */
    private CompletableFuture<HttpResponse<String>> holdOne(String key) throws Exception {
        CountDownLatch came = new CountDownLatch(1);
        service.beforeAnswer = (link, invoke) -> {
            came.countDown();
            new Thread(() -> answerLater(link, invoke), "late-answer").start();
            return false;
        };
        CompletableFuture<HttpResponse<String>> booking = entry.sendAsync(entry.book(FakeService.NAME, key, "sofa"));
        assertTrue(came.await(15, TimeUnit.SECONDS));
        return booking;
    }

    private void answerLater(Link link, Invoke invoke) {
        try {
            hold.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        service.answer(link, invoke);
    }
}
