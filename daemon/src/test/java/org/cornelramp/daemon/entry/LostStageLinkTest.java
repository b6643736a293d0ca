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
 * The link between the entry and one stage breaks during a stream; the agent keeps running, and there is no other
 * replica. The entry reconnects and opens the same stage under a new epoch. The agent replies with the position that it
 * had reached, so no step runs again. The caller sees one complete text after a pause of some milliseconds.
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
    public void resumesAtSameAgentOverNewLink() throws Exception {
        for (FakeAgent cut : entry.agents) {
            EntryFixture.await(() -> entry.candidates() == 3);
            long before = openedStages(cut);
            pipeline.onPosition(PROMPT.length() + 6, () -> {
                pipeline.stall(cut);
                cut.cutLinks();
            });
            HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
            assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS), response.body());
            assertTrue(Sse.isComplete(response.body()));
            assertTrue(openedStages(cut) >= before + 1);
        }
    }

    private static long openedStages(FakeAgent agent) {
        return agent.receivedMessages.stream()
                .filter(OpenStage.class::isInstance)
                .count();
    }
}
