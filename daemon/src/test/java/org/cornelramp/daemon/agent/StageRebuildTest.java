package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.cornelramp.wire.message.ExportStage;
import org.cornelramp.wire.message.StageExported;
import org.testng.annotations.Test;

/**
 * Guards against changed or missing tokens when one of three stages is lost during a request. The replacement is
 * rebuilt from the kept outputs of the previous stage, or starts from the KV cache that the stage exported before it
 * stopped. The other stages run no position again, and the tokens are the same as without the failure.
 */
public class StageRebuildTest {
    private static final long[] PROMPT = {5, 6, 7, 8};
    private static final int TOKENS = 3_000;
    private static final int CHECKED_TOKENS = 200;

    @Test
    public void aReplacementIsRebuiltFromKeptOutputs() throws Exception {
        for (int lost = 0; lost < 3; lost++) {
            replace(lost, false);
        }
    }

    @Test
    public void aReplacementStartsFromAnExportedCache() throws Exception {
        for (int lost = 0; lost < 3; lost++) {
            replace(lost, true);
        }
    }

    private static void replace(int lost, boolean exports) throws Exception {
        try (TestAgent a = TestAgent.engine("gpu-a", 0, 2, 6);
                TestAgent b = TestAgent.engine("gpu-b", 2, 4, 6);
                TestAgent c = TestAgent.engine("gpu-c", 4, 6, 6);
                TestAgent spare = TestAgent.engine("gpu-s", 2 * lost, 2 * lost + 2, 6);
                TestEntry entry = new TestEntry("entry-1")) {
            List<TestAgent> agents = List.of(a, b, c);
            TestPipeline pipeline = new TestPipeline(entry, PROMPT, TOKENS);
            pipeline.start(agents);
            pipeline.collect(20);
            Optional<byte[]> kv = Optional.empty();
            if (exports) {
                entry.link(agents.get(lost)).send(new ExportStage(pipeline.session(), 1));
                kv = entry.next(StageExported.class).kv();
                assertTrue(kv.isPresent());
            }
            agents.get(lost).close();
            pipeline.replace(lost, spare, kv);
            pipeline.collect(CHECKED_TOKENS);

            assertEquals(
                    pipeline.tokens().subList(0, CHECKED_TOKENS),
                    TestPipeline.expectedTokens(PROMPT, TOKENS, 6).subList(0, CHECKED_TOKENS));
            for (TestAgent agent : List.of(a, b, c, spare)) {
                List<String> trace = agent.engine.trace();
                assertEquals(new HashSet<>(trace).size(), trace.size(), "no position runs twice at one engine");
            }
            if (exports) {
                assertTrue(spare.engine.trace().stream().noneMatch(step -> step.endsWith(" 0")));
            }
        }
    }
}
