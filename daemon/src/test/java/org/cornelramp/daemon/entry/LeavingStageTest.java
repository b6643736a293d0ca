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
 * A caller reads a stream while the agent of one of its stages says that it is leaving, or the VM list says so. The
 * session in progress finishes where it is, since moving it would cost a rebuild and gain nothing; a session that
 * comes after the sign goes to the other agent, whichever sign came first.
 */
public class LeavingStageTest {
    private static final String PROMPT = "construction debris";
    private static final int TOKENS = 16;

    private EntryFixture entry;
    private FakePipeline pipeline;
    private FakeAgent leaving;
    private FakeAgent other;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL));
        pipeline = new FakePipeline();
        leaving = pipeline.agent("b", 1, 1);
        other = pipeline.agent("b2", 1, 1);
        entry.add(pipeline.agent("a", 1, 0), leaving, pipeline.agent("c", 1, 2));
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void finishesInPlaceAndTakesNoNewSessionAfterItsOwnWord() throws Exception {
        pipeline.onPosition(PROMPT.length() + 4, () -> leaving.say(AgentState.LEAVING));
        HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
        assertEquals(Sse.text(response.body()), FakePipeline.expected(PROMPT, TOKENS));
        assertTrue(Sse.isComplete(response.body()));
        entry.add(other);
        EntryFixture.await(() -> entry.candidates() == 3);
        assertNewSessionsGoElsewhere();
    }

    @Test
    public void takesNoNewSessionAfterTheVmListsWord() throws Exception {
        entry.add(other);
        entry.leaving = List.of("b");
        EntryFixture.await(() -> entry.candidates() == 3);
        assertNewSessionsGoElsewhere();
    }

    private void assertNewSessionsGoElsewhere() throws Exception {
        long before = opened(leaving);
        for (int i = 0; i < 5; i++) {
            HttpResponse<String> response = entry.send(entry.chat(PROMPT, TOKENS, true));
            assertTrue(Sse.isComplete(response.body()), response.body());
        }
        assertEquals(opened(leaving), before);
        assertEquals(opened(other), 5);
    }

    private static long opened(FakeAgent agent) {
        return agent.got.stream().filter(OpenStage.class::isInstance).count();
    }
}
