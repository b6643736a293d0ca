package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelramp.ports.LogStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The agent's process ends before it answers a call with a key. A new incarnation of the agent starts; it does not know
 * the key and never gets the call. After a crash the caller gets the outcome unknown at once. After a planned stop the
 * log holds the results of the ended incarnation, and the caller gets its answer, or not-run for a key that is not
 * listed.
 */
public class AgentRestartTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EntryFixture entry;
    private FakeService first;
    private FakeService second;
    private String key;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakeService.NAME));
        first = new FakeService("s", 7);
        second = new FakeService("s", 8);
        first.beforeRun = (link, invoke) -> false;
        entry.add(first.agent);
        key = entry.mintKey(FakeService.NAME);
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void reportsUnknownAfterCrash() throws Exception {
        HttpResponse<String> response = bookWhileTheAgentIsReplaced();
        JsonNode problem = JSON.readTree(response.body());
        assertEquals(problem.path("outcome").textValue(), "unknown");
        assertEquals(problem.path("kind").textValue(), "backend-lost");
        assertEquals(second.executions.get(), 0);
    }

    @Test
    public void returnsAnswerSettledByPlannedStop() throws Exception {
        settle(result("\"outcome\":\"answered\",\"status\":200,\"contentType\":\"text/plain\",\"body\":\"c29mYQ==\""));
        HttpResponse<String> response = bookWhileTheAgentIsReplaced();
        assertEquals(response.statusCode(), 200);
        assertEquals(response.body(), "sofa");
    }

    @Test
    public void reportsNotRunForKeyMissingFromPlannedStop() throws Exception {
        settle("");
        HttpResponse<String> response = bookWhileTheAgentIsReplaced();
        assertEquals(JSON.readTree(response.body()).path("outcome").textValue(), "not-run");
    }

    private String result(String fields) {
        return "{\"key\":\"" + key + "\"," + fields + "}";
    }

    private void settle(String results) throws Exception {
        JsonNode record = JSON.readTree("{\"type\":\"settled\",\"incarnation\":\"" + first.agent.incarnation
                + "\",\"part\":0,\"parts\":1,\"results\":[" + results + "]}");
        entry.log.append(LogStream.KEYS, List.of(record)).get();
    }

    private HttpResponse<String> bookWhileTheAgentIsReplaced() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = entry.sendAsync(entry.book(FakeService.NAME, key, "sofa"));
        if (entry.log.size(LogStream.KEYS) == 0) {
            EntryFixture.await(() -> !first.agent.receivedMessages.isEmpty());
        }
        first.agent.close();
        entry.agents.remove(first.agent);
        entry.add(second.agent);
        return answer.get(15, TimeUnit.SECONDS);
    }
}
