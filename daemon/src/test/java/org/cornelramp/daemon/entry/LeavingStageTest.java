package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.wire.message.OpenStage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An agent of a pipeline announces that it is leaving, or the VM list says so. A session in progress finishes at that
 * agent, because moving it would cost a rebuild without benefit. New sessions go to the other agent after either
 * notice.
 */
public class LeavingStageTest {
    private static final String PROMPT = "construction debris";
    private static final int TOKENS = 16;

    private EntryFixture entry;
    private FakePipeline pipeline;
    private FakeAgent leaving;
    private FakeAgent replacement;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL));
        pipeline = new FakePipeline();
        leaving = pipeline.agent("b", 1, 1);
        replacement = pipeline.agent("b2", 1, 1);
        entry.add(pipeline.agent("a", 1, 0), leaving, pipeline.agent("c", 1, 2));
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void finishesSessionAndTakesNoNewOnesAfterOwnNotice() throws Exception {
        pipeline.onPosition(PROMPT.length() + 4, () -> leaving.changeState(AgentState.LEAVING));
        HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
        assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS));
        assertTrue(Sse.isComplete(response.body()));
        entry.add(replacement);
        EntryFixture.await(() -> entry.candidates() == 3);
        assertNewSessionsGoElsewhere();
    }

    @Test
    public void takesNoNewSessionsAfterVmListNotice() throws Exception {
        entry.add(replacement);
        entry.leavingAgents = List.of("b");
        EntryFixture.await(() -> entry.candidates() == 3);
        assertNewSessionsGoElsewhere();
    }

    private void assertNewSessionsGoElsewhere() throws Exception {
        long before = openedStages(leaving);
        for (int i = 0; i < 5; i++) {
            HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
            assertTrue(Sse.isComplete(response.body()), response.body());
        }
        assertEquals(openedStages(leaving), before);
        assertEquals(openedStages(replacement), 5);
    }

    private static long openedStages(FakeAgent agent) {
        return agent.receivedMessages.stream()
                .filter(OpenStage.class::isInstance)
                .count();
    }
}
