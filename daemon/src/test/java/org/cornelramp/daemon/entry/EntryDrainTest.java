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
 * Guards against a drain that interrupts requests. An operator drains an entry while a stream and a call to a plain
 * service are in progress. The entry reports not ready at once, so that the load balancer stops sending to it, and
 * refuses new requests. The stream and the call complete, and only then is the entry drained.
 */
public class EntryDrainTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PROMPT = "refrigerator";

    private EntryFixture entry;
    private FakePipeline pipeline;
    private FakeService service;
    private final CountDownLatch releaseAnswer = new CountDownLatch(1);

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL, FakeService.NAME));
        pipeline = new FakePipeline();
        service = new FakeService("s", 7);
        entry.add(pipeline.agent("a", 1, 0), pipeline.agent("b", 1, 1), pipeline.agent("c", 1, 2), service.agent);
    }

    @AfterMethod
    public void stop() {
        releaseAnswer.countDown();
        entry.close();
    }

    @Test
    public void finishesRequestsInProgressAndRefusesNewOnes() throws Exception {
        String key = entry.mintKey(FakeService.NAME);
        String late = entry.mintKey(FakeService.NAME);
        CompletableFuture<HttpResponse<String>> booking = startHeldBooking(key);
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
        releaseAnswer.countDown();
        assertEquals(booking.get(15, TimeUnit.SECONDS).body(), "booked sofa as 1");
        HttpResponse<String> keyed = entry.send(entry.book(FakeService.NAME, late, "sofa"));
        assertEquals(JSON.readTree(keyed.body()).path("outcome").textValue(), "not-run");
        EntryFixture.await(entry::isDrained);
        assertEquals(service.executions.get(), 1);
    }

    /** Starts a booking whose answer the agent withholds until the test releases it. */
    private CompletableFuture<HttpResponse<String>> startHeldBooking(String key) throws Exception {
        CountDownLatch callReceived = new CountDownLatch(1);
        service.beforeAnswer = (link, invoke) -> {
            callReceived.countDown();
            new Thread(() -> answerLater(link, invoke), "late-answer").start();
            return false;
        };
        CompletableFuture<HttpResponse<String>> booking = entry.sendAsync(entry.book(FakeService.NAME, key, "sofa"));
        assertTrue(callReceived.await(15, TimeUnit.SECONDS));
        return booking;
    }

    private void answerLater(Link link, Invoke invoke) {
        try {
            releaseAnswer.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        service.sendRecordedAnswer(link, invoke);
    }
}
