package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import org.cornelramp.wire.message.StageLost;
import org.testng.annotations.Test;

/**
 * Guards against lost or repeated steps when the connection between the agents of two stages is cut three times during
 * a request, with steps in flight. The agent of the first stage reconnects and sends again from its kept outputs. No
 * stage is reported lost, no layer runs a position twice, and the epoch stays the same.
 */
public class CutNeighbourLinkTest {
    private static final long[] PROMPT = {5, 6, 7, 8};
    private static final int TOKENS = 6_000;

    @Test
    public void stepsOnACutLinkAreSentAgainUnderTheSameEpoch() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 3, 6);
                TestAgent b = TestAgent.engine("gpu-b", 3, 6, 6);
                TcpProxy proxy = new TcpProxy(b.address());
                TestEntry entry = new TestEntry("entry-1")) {
            TestPipeline pipeline = new TestPipeline(entry, PROMPT, TOKENS);
            pipeline.overrideAddress(b, proxy.address());
            pipeline.start(List.of(a, b));
            for (int cut = 1; cut <= 3; cut++) {
                pipeline.collect(cut * 50);
                proxy.cut();
                // The stages run ahead of the collected tokens: without a new connection the next cut would have no
                // effect.
                int wanted = cut + 1;
                TestEntry.await(() -> proxy.accepted() >= wanted);
            }
            pipeline.collect(400);

            assertTrue(proxy.accepted() >= 4);
            assertEquals(pipeline.epoch(), 1);
            assertEquals(
                    pipeline.tokens().subList(0, 400),
                    TestPipeline.expectedTokens(PROMPT, TOKENS, 6).subList(0, 400));
            assertTrue(entry.takeMessages().stream().noneMatch(StageLost.class::isInstance));
            for (TestAgent agent : List.of(a, b)) {
                List<String> trace = agent.engine.trace();
                assertEquals(new HashSet<>(trace).size(), trace.size());
            }
        }
    }
}
