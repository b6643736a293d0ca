package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import org.cornelramp.core.model.AgentState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Chat completions through three stages on different agents, streamed and not streamed. */
public class ChatTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EntryFixture entry;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL));
        FakePipeline pipeline = new FakePipeline();
        entry.add(pipeline.agent("a", 1, 0), pipeline.agent("b", 1, 1), pipeline.agent("c", 1, 2));
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void returnsCompleteAnswer() throws Exception {
        HttpResponse<String> response = entry.send(entry.chat("a sofa", 12, false));
        assertEquals(response.statusCode(), 200, response.body());
        JsonNode root = JSON.readTree(response.body());
        assertEquals(root.at("/choices/0/message/content").textValue(), FakePipeline.expected("a sofa", 12));
        assertEquals(root.at("/choices/0/finish_reason").textValue(), "length");
        assertEquals(root.at("/usage/completion_tokens").intValue(), 12);
        assertTrue(response.headers().firstValueAsLong("Content-Length").isPresent());
        assertTrue(response.headers().firstValue(Headers.REQUEST_ID).isPresent());
        assertEquals(response.headers().firstValue(Headers.OUTCOME).orElse(""), "answered");
        assertEquals(entry.outcomes, List.of("answered"));
    }

    @Test
    public void streamsTheAnswerAndEndsItExplicitly() throws Exception {
        HttpResponse<String> response = entry.send(entry.chat("a wardrobe", 9, true));
        assertEquals(Sse.text(response.body()), FakePipeline.expected("a wardrobe", 9));
        assertTrue(Sse.isComplete(response.body()));
    }

    @Test
    public void refusesAnUnknownCaller() throws Exception {
        HttpResponse<String> response =
                entry.send(entry.chat("a sofa", 2, false).setHeader("Authorization", "Bearer nobody"));
        assertEquals(response.statusCode(), 401);
        assertEquals(JSON.readTree(response.body()).path("kind").textValue(), "unauthorised");
        assertEquals(JSON.readTree(response.body()).path("outcome").textValue(), "not-run");
    }

    @Test
    public void refusesAtOnceWhenAStageHasNoBackendServer() throws Exception {
        entry.agents.get(1).changeState(AgentState.BACKEND_DOWN);
        EntryFixture.await(() -> entry.candidates() == 2);
        HttpResponse<String> response = entry.send(entry.chat("a sofa", 2, true));
        assertEquals(response.statusCode(), 503);
        assertFalse(Sse.isComplete(response.body()));
        assertEquals(JSON.readTree(response.body()).path("kind").textValue(), "no-backend-server");
    }
}
