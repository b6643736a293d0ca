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
 * A clerk books while the link between entry and agent breaks; the agent lives on. The entry asks the same agent on
 * a new link what became of the key. If the call had run, the clerk gets its answer; if it had not, the agent notes
 * that it never will, and only then is the clerk told not-run. Nothing is sent a second time.
 */
public class LostLinkTest {
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
    public void givesTheAnswerThatWasOnTheBrokenLink() throws Exception {
        service.beforeAnswer = (link, invoke) -> {
            link.close("cut by the test");
            return false;
        };
        HttpResponse<String> response = book();
        assertEquals(response.body(), "booked sofa as 1");
        assertEquals(service.effects.get(), 1);
        assertEquals(invokes(), 1);
    }

    @Test
    public void saysNotRunByTheAgentsWordWhenTheCallNeverCame() throws Exception {
        service.beforeRun = (link, invoke) -> {
            link.close("cut by the test");
            return false;
        };
        HttpResponse<String> response = book();
        assertEquals(
                new ObjectMapper().readTree(response.body()).path("outcome").textValue(), "not-run");
        assertEquals(response.statusCode(), 502);
        assertEquals(service.effects.get(), 0);
        assertEquals(invokes(), 1);
    }

    private HttpResponse<String> book() throws Exception {
        String key = entry.mint(FakeService.NAME);
        CompletableFuture<HttpResponse<String>> answer = entry.sendAsync(entry.book(FakeService.NAME, key, "sofa"));
        return answer.get(15, TimeUnit.SECONDS);
    }

    private long invokes() {
        return service.agent.got.stream().filter(Invoke.class::isInstance).count();
    }
}
