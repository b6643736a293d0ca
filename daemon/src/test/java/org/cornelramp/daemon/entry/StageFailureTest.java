package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A stage of a pipeline fails during a stream. The entry detects the lost link and opens a new epoch with a
 * replacement, to which the preceding stage sends its kept outputs again. The caller sees one complete text without
 * repeated or skipped tokens, because the replacement is rebuilt up to the position that was reached. Without a
 * replacement the stream ends with an error and never as complete.
 */
public class StageFailureTest {
    private static final String PROMPT = "two mattresses";
    private static final int TOKENS = 24;
    private static final int FAILURE_POSITION = PROMPT.length() + 9;

    private EntryFixture entry;
    private FakePipeline pipeline;
    private FakeAgent[] pipelineAgents;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL));
        pipeline = new FakePipeline();
        pipelineAgents =
                new FakeAgent[] {pipeline.agent("a", 1, 0), pipeline.agent("b", 1, 1), pipeline.agent("c", 1, 2)};
        entry.add(pipelineAgents);
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void resumesAtNextTokenAfterAnyStageFails() throws Exception {
        entry.add(pipeline.agent("a2", 1, 0), pipeline.agent("b2", 1, 1), pipeline.agent("c2", 1, 2));
        for (FakeAgent failing : List.of(pipelineAgents[0], pipelineAgents[1], pipelineAgents[2])) {
            pipeline.onPosition(FAILURE_POSITION, () -> pipeline.kill(failing));
            HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
            assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS));
            assertTrue(Sse.isComplete(response.body()));
        }
    }

    @Test
    public void resumesAfterTwoStagesFailTogether() throws Exception {
        pipeline.onPosition(FAILURE_POSITION, () -> {
            pipeline.kill(pipelineAgents[1]);
            pipeline.kill(pipelineAgents[2]);
        });
        entry.add(pipeline.agent("b2", 1, 1), pipeline.agent("c2", 1, 2));
        HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
        assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS));
        assertTrue(Sse.isComplete(response.body()));
    }

    @Test
    public void endsStreamWithErrorWithoutReplacement() throws Exception {
        pipeline.onPosition(FAILURE_POSITION, () -> pipeline.stall(pipelineAgents[1]));
        InputStream stream = entry.open(entry.chat(PROMPT, TOKENS, true));
        String body = new String(new byte[] {(byte) stream.read()}, StandardCharsets.UTF_8);
        pipeline.kill(pipelineAgents[1]);
        body += new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(Sse.isFailed(body), body);
        assertFalse(Sse.isComplete(body));
        assertTrue(FakePipeline.expected(PROMPT, TOKENS).startsWith(Sse.text(body)));
        assertEquals(entry.outcomes, List.of("unknown"));
    }
}
