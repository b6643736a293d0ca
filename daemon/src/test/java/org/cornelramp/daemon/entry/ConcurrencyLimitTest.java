package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowValues;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An organisation has a concurrency limit of one, which briefly admits a second request. A third request is refused at
 * once with a Retry-After. A call with a key is refused as not-run only after its agent has recorded that the key never
 * runs, because an earlier attempt may have run through another entry.
 */
public class ConcurrencyLimitTest {
    private EntryFixture entry;
    private FakeService service;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakeService.NAME));
        service = new FakeService("s", 7);
        entry.add(service.agent);
        Row row = EntryFixture.row(FakeService.NAME);
        RowValues limits = new RowValues(1, 0, 0, 1, 0, 20_000, 99, row.values().callerKeyHashes());
        entry.table.put(new Row(row.key(), 1, limits));
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void refusesCallOverLimitAndSettlesItsKey() throws Exception {
        String first = entry.mintKey(FakeService.NAME);
        String second = entry.mintKey(FakeService.NAME);
        String third = entry.mintKey(FakeService.NAME);
        CountDownLatch callsReceived = new CountDownLatch(2);
        service.beforeAnswer = (link, invoke) -> {
            callsReceived.countDown();
            return false;
        };
        CompletableFuture<HttpResponse<String>> held = startHeldBooking(first);
        CompletableFuture<HttpResponse<String>> overLimit = startHeldBooking(second);
        assertTrue(callsReceived.await(15, TimeUnit.SECONDS));
        HttpResponse<String> refused = entry.send(entry.book(FakeService.NAME, third, "sofa"));
        JsonNode problem = new ObjectMapper().readTree(refused.body());
        assertEquals(refused.statusCode(), 429);
        assertEquals(problem.path("kind").textValue(), "limit-reached");
        assertEquals(problem.path("outcome").textValue(), "not-run");
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertTrue(service.record.containsKey(third), "the agent recorded that the key never runs");
        assertTrue(held.get(15, TimeUnit.SECONDS).body().startsWith("booked sofa"));
        assertTrue(overLimit.get(15, TimeUnit.SECONDS).body().startsWith("booked sofa"));
        assertEquals(service.executions.get(), 2);
    }

    private CompletableFuture<HttpResponse<String>> startHeldBooking(String key) {
        return entry.sendAsync(entry.book(FakeService.NAME, key, "sofa").header(Headers.DEADLINE, "1500"));
    }
}
