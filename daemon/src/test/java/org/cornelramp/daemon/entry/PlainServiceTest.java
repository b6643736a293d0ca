package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.cornelramp.core.model.ServiceName;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Calls to a plain service, with a ticket and without a key. */
public class PlainServiceTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EntryFixture entry;
    private FakeService service;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakeService.NAME));
        service = new FakeService("s", 7);
        entry.add(service.agent);
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void runsOncePerTicketWhenRepeated() throws Exception {
        String key = entry.mintKey(FakeService.NAME);
        HttpResponse<String> first = entry.send(book(key, "sofa"));
        HttpResponse<String> again = entry.send(book(key, "sofa"));
        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(first.body(), "booked sofa as 1");
        assertEquals(again.body(), first.body());
        assertEquals(service.executions.get(), 1);
        assertEquals(first.headers().firstValue(Headers.OUTCOME).orElse(""), "answered");
    }

    @Test
    public void refusesTicketForAgentOfOtherService() throws Exception {
        ServiceName coupons = new ServiceName("coupons");
        entry.table.put(EntryFixture.row(coupons));
        String key = entry.mintKey(FakeService.NAME);
        HttpResponse<String> response = entry.send(entry.book(coupons, key, "code"));
        assertEquals(JSON.readTree(response.body()).path("kind").textValue(), "key-reused");
        assertEquals(service.executions.get(), 0);
    }

    @Test
    public void refusesABookingWithoutAKey() throws Exception {
        HttpResponse<String> response = entry.send(entry.request("/services/" + FakeService.NAME + "/book")
                .POST(HttpRequest.BodyPublishers.ofString("sofa")));
        JsonNode problem = JSON.readTree(response.body());
        assertEquals(response.statusCode(), 400);
        assertEquals(problem.path("kind").textValue(), "key-missing");
        assertEquals(service.executions.get(), 0);
    }

    @Test
    public void forwardsIdempotentCallWithoutKey() throws Exception {
        HttpResponse<String> response = entry.send(entry.request("/services/" + FakeService.NAME + "/list?of=sofas")
                .GET());
        assertEquals(response.body(), "GET /list?of=sofas");
    }

    private HttpRequest.Builder book(String key, String what) {
        return entry.book(FakeService.NAME, key, what);
    }
}
