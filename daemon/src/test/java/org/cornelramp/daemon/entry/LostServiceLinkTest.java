package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelramp.wire.message.Invoke;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The link between entry and agent breaks during a call with a key; the agent keeps running. The entry asks the same
 * agent over a new link for the result of the key. If the call ran, the caller gets its answer. If not, the agent
 * records that the key never runs, and only then the caller gets the outcome not-run. The call is not sent again.
 */
public class LostServiceLinkTest {
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
    public void returnsAnswerLostWithTheLink() throws Exception {
        service.beforeAnswer = (link, invoke) -> {
            link.close("cut by the test");
            return false;
        };
        HttpResponse<String> response = book();
        assertEquals(response.body(), "booked sofa as 1");
        assertEquals(service.executions.get(), 1);
        assertEquals(invokes(), 1);
    }

    @Test
    public void reportsNotRunWhenAgentConfirmsCallNeverArrived() throws Exception {
        service.beforeRun = (link, invoke) -> {
            link.close("cut by the test");
            return false;
        };
        HttpResponse<String> response = book();
        assertEquals(
                new ObjectMapper().readTree(response.body()).path("outcome").textValue(), "not-run");
        assertEquals(response.statusCode(), 502);
        assertEquals(service.executions.get(), 0);
        assertEquals(invokes(), 1);
    }

    private HttpResponse<String> book() throws Exception {
        String key = entry.mintKey(FakeService.NAME);
        CompletableFuture<HttpResponse<String>> answer = entry.sendAsync(entry.book(FakeService.NAME, key, "sofa"));
        return answer.get(15, TimeUnit.SECONDS);
    }

    private long invokes() {
        return service.agent.receivedMessages.stream()
                .filter(Invoke.class::isInstance)
                .count();
    }
}
