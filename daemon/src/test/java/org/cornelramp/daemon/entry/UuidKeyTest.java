package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelramp.ports.LogStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A caller sends calls with UUID keys that it generated itself through two entries, while the log loses an answer or is
 * unavailable. The first binding on the log holds for both entries, so only one agent gets the key. During an outage no
 * call runs, and not-run is reported only after every agent that may have run the key has denied it.
 */
public class UuidKeyTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ONE_MINUTE = 60_000;

    private FakeLog log;
    private EntryFixture entry;
    private EntryFixture other;
    private FakeService one;
    private FakeService two;

    @BeforeMethod
    public void start() throws Exception {
        log = new FakeLog();
        entry = new EntryFixture(List.of(FakeService.NAME), log);
        other = new EntryFixture(List.of(FakeService.NAME), log);
        one = new FakeService("s1", 1);
        two = new FakeService("s2", 2);
        entry.add(one.agent, two.agent);
        other.addRunning(one.agent, two.agent);
    }

    @AfterMethod
    public void stop() {
        other.close();
        entry.close();
    }

    @Test
    public void runsOnceWhenTwoEntriesUseOneKey() throws Exception {
        for (int i = 0; i < 20; i++) {
            String key = key(0);
            CompletableFuture<HttpResponse<String>> a = entry.sendAsync(entry.book(FakeService.NAME, key, "sofa"));
            CompletableFuture<HttpResponse<String>> b = other.sendAsync(other.book(FakeService.NAME, key, "sofa"));
            String first = a.get(15, TimeUnit.SECONDS).body();
            assertEquals(b.get(15, TimeUnit.SECONDS).body(), first);
            assertTrue(first.startsWith("booked sofa"), first);
            assertEquals(one.executions.get() + two.executions.get(), i + 1);
        }
    }

    @Test
    public void resolvesLostAppendAnswerByReadingBack() throws Exception {
        log.loseAnswers = true;
        HttpResponse<String> response = entry.send(entry.book(FakeService.NAME, key(0), "sofa"));
        assertEquals(response.statusCode(), 200, response.body());
        assertEquals(one.executions.get() + two.executions.get(), 1);
        assertEquals(log.size(LogStream.KEYS), 1);
    }

    @Test
    public void refusesAnotherRequestUnderTheSameKey() throws Exception {
        String key = key(0);
        entry.send(entry.book(FakeService.NAME, key, "sofa"));
        HttpResponse<String> response = other.send(other.book(FakeService.NAME, key, "fridge"));
        assertEquals(kind(response), "key-reused");
        assertEquals(one.executions.get() + two.executions.get(), 1);
    }

    @Test
    public void refusesAKeyOlderThanTheWindow() throws Exception {
        HttpResponse<String> response = entry.send(entry.book(FakeService.NAME, key(-4_000_000), "sofa"));
        assertEquals(kind(response), "key-expired");
        assertEquals(outcome(response), "unknown");
    }

    @Test
    public void reportsNotRunInOutageOnlyWhenAllAgentsDenyKey() throws Exception {
        Thread.sleep(300);
        log.unavailable = true;
        String key = key(ONE_MINUTE - 150);
        HttpResponse<String> response = entry.send(entry.book(FakeService.NAME, key, "sofa"));
        assertEquals(kind(response), "log-unavailable");
        assertEquals(outcome(response), "not-run");
        log.unavailable = false;
        HttpResponse<String> again = other.send(other.book(FakeService.NAME, key, "sofa"));
        assertEquals(outcome(again), "not-run", "a key that was denied never runs");
        assertEquals(one.executions.get() + two.executions.get(), 0);
    }

    @Test
    public void returnsEarlierAnswerWhileLogIsUnavailable() throws Exception {
        Thread.sleep(300);
        String key = key(ONE_MINUTE - 150);
        entry.setLogReadsFail(true);
        HttpResponse<String> first = other.send(other.book(FakeService.NAME, key, "sofa"));
        log.unavailable = true;
        HttpResponse<String> second = entry.send(entry.book(FakeService.NAME, key, "sofa"));
        assertEquals(second.body(), first.body());
        assertEquals(one.executions.get() + two.executions.get(), 1);
    }

    @Test
    public void reportsUnknownInOutageWhenEarlierIncarnationMayHaveRunKey() throws Exception {
        log.unavailable = true;
        HttpResponse<String> response = entry.send(entry.book(FakeService.NAME, key(-1_000), "sofa"));
        assertEquals(kind(response), "log-unavailable");
        assertEquals(outcome(response), "unknown");
    }

    private static String key(long offsetMillis) {
        long millis = System.currentTimeMillis() + offsetMillis;
        UUID random = UUID.randomUUID();
        long high = (millis << 16) | 0x7000L | (random.getMostSignificantBits() & 0xfffL);
        return new UUID(high, random.getLeastSignificantBits()).toString();
    }

    private static String kind(HttpResponse<String> response) throws Exception {
        return problem(response).path("kind").textValue();
    }

    private static String outcome(HttpResponse<String> response) throws Exception {
        return problem(response).path("outcome").textValue();
    }

    private static JsonNode problem(HttpResponse<String> response) throws Exception {
        assertTrue(response.body().startsWith("{"), response.body());
        return JSON.readTree(response.body());
    }
}
