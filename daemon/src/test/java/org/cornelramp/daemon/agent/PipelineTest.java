package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import org.testng.annotations.Test;

/** A request runs on three agents: every layer runs each position once, and the answer is complete. */
public class PipelineTest {
    private static final long[] PROMPT = {5, 6, 7, 8};

    @Test
    public void threeStagesGenerateTheTokensOfOneEngine() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 2, 6);
                TestAgent b = TestAgent.engine("gpu-b", 2, 4, 6);
                TestAgent c = TestAgent.engine("gpu-c", 4, 6, 6);
                TestEntry entry = new TestEntry("entry-1")) {
            TestPipeline pipeline = new TestPipeline(entry, PROMPT, 20);
            pipeline.start(List.of(a, b, c));
            pipeline.collect(20);

            assertEquals(pipeline.tokens(), TestPipeline.expectedTokens(PROMPT, 20, 6));
            for (TestAgent agent : List.of(a, b, c)) {
                List<String> trace = agent.engine.trace();
                assertEquals(trace.size(), PROMPT.length + 19);
                assertEquals(new HashSet<>(trace).size(), trace.size());
            }
        }
    }

    @Test
    public void singleStageFeedsItsTokensToItself() throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 6, 6);
                TestEntry entry = new TestEntry("entry-1")) {
            TestPipeline pipeline = new TestPipeline(entry, PROMPT, 12);
            pipeline.start(List.of(a));
            pipeline.collect(12);
            assertEquals(pipeline.tokens(), TestPipeline.expectedTokens(PROMPT, 12, 6));
        }
    }
}
