package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import org.cornelramp.wire.message.StageLost;
import org.testng.annotations.Test;

/**
 * The connection between the agents of two stages is cut in the middle of a request, three times, with steps on it.
 * The caller sees a short pause. The agent of the first stage connects again and sends again from what it kept; no
 * stage is given up, no layer runs twice, and the epoch stays the same.
 */
public class CutNeighbourLinkTest {
    private static final long[] PROMPT = {5, 6, 7, 8};
    private static final int TOKENS = 6_000;

    @Test
    public void stepsOnACutLinkAreSentAgainUnderTheSameEpoch() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 3, 6);
                TestAgent b = TestAgent.engine("gpu-b", 3, 6, 6);
                Relay relay = new Relay(b.address());
                TestEntry entry = new TestEntry("entry-1")) {
            TestPipeline pipeline = new TestPipeline(entry, PROMPT, TOKENS);
            pipeline.reachAt(b, relay.address());
            pipeline.start(List.of(a, b));
            for (int cut = 1; cut <= 3; cut++) {
                pipeline.collect(cut * 50);
                relay.cut();
                // The stages run ahead of what is collected: without a new connection the next cut would cut nothing.
                int wanted = cut + 1;
                TestEntry.await(() -> relay.accepted() >= wanted);
            }
            pipeline.collect(400);

            assertTrue(relay.accepted() >= 4);
            assertEquals(pipeline.epoch(), 1);
            assertEquals(
                    pipeline.tokens().subList(0, 400),
                    TestPipeline.undisturbed(PROMPT, TOKENS, 6).subList(0, 400));
            assertTrue(entry.drain().stream().noneMatch(StageLost.class::isInstance));
            for (TestAgent agent : List.of(a, b)) {
                List<String> trace = agent.engine.trace();
                assertEquals(new HashSet<>(trace).size(), trace.size());
            }
        }
    }
}
