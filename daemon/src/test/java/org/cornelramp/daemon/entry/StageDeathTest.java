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
 * A caller reads a stream while a stage of its pipeline dies. The entry sees the link break, opens a new epoch with
 * a replacement, and the stage before it sends its kept outputs again. The caller sees one whole text: the first
 * token after the break is the next one, neither repeated nor skipped, since the replacement was rebuilt up to the
 * very position that was reached. Without a replacement the stream ends with an error and never as complete.
 */
public class StageDeathTest {
    private static final String PROMPT = "two mattresses";
    private static final int TOKENS = 24;
    private static final int MID = PROMPT.length() + 9;

    private EntryFixture entry;
    private FakePipeline pipeline;
    private FakeAgent[] first;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL));
        pipeline = new FakePipeline();
        first = new FakeAgent[] {pipeline.agent("a", 1, 0), pipeline.agent("b", 1, 1), pipeline.agent("c", 1, 2)};
        entry.add(first);
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void goesOnAtTheNextTokenWhicheverStageDies() throws Exception {
        entry.add(pipeline.agent("a2", 1, 0), pipeline.agent("b2", 1, 1), pipeline.agent("c2", 1, 2));
        for (FakeAgent dying : List.of(first[0], first[1], first[2])) {
            pipeline.onPosition(MID, () -> pipeline.kill(dying));
            HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
            assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS));
            assertTrue(Sse.isComplete(response.body()));
        }
    }

    @Test
    public void goesOnWhenTwoStagesDieAtOnce() throws Exception {
        pipeline.onPosition(MID, () -> {
            pipeline.kill(first[1]);
            pipeline.kill(first[2]);
        });
        entry.add(pipeline.agent("b2", 1, 1), pipeline.agent("c2", 1, 2));
        HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
        assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS));
        assertTrue(Sse.isComplete(response.body()));
    }

    @Test
    public void endsTheStreamWithAnErrorWhenNoReplacementIsThere() throws Exception {
        pipeline.onPosition(MID, () -> pipeline.stall(first[1]));
        InputStream stream = entry.open(entry.chat(PROMPT, TOKENS, true));
        String body = new String(new byte[] {(byte) stream.read()}, StandardCharsets.UTF_8);
        pipeline.kill(first[1]);
        body += new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(Sse.isFailed(body), body);
        assertFalse(Sse.isComplete(body));
        assertTrue(FakePipeline.expected(PROMPT, TOKENS).startsWith(Sse.text(body)));
        assertEquals(entry.ended, List.of("unknown"));
    }
}
