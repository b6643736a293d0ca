package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import org.cornelramp.wire.message.OpenStage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A caller reads a stream while the link between entry and one stage breaks; the agent lives, and there is no other
 * replica. The entry links up again and opens the same stage under a new epoch; the agent answers with the position
 * that it had reached, so nothing runs again. The caller sees one whole text and a pause of some milliseconds.
 */
public class LostStageLinkTest {
    private static final String PROMPT = "a mattress";
    private static final int TOKENS = 20;

    private EntryFixture entry;
    private FakePipeline pipeline;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL));
        pipeline = new FakePipeline();
        entry.add(pipeline.agent("a", 1, 0), pipeline.agent("b", 1, 1), pipeline.agent("c", 1, 2));
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void goesOnAtTheSameAgentOverANewLink() throws Exception {
        for (FakeAgent cut : entry.agents) {
            EntryFixture.await(() -> entry.candidates() == 3);
            long before = opened(cut);
            pipeline.onPosition(PROMPT.length() + 6, () -> {
                pipeline.stall(cut);
                cut.cutLinks();
            });
            HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
            assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS), response.body());
            assertTrue(Sse.isComplete(response.body()));
            assertTrue(opened(cut) >= before + 1);
        }
    }

    private static long opened(FakeAgent agent) {
        return agent.got.stream().filter(OpenStage.class::isInstance).count();
    }
}
