package org.cornelramp.standins.engine;

import static org.testng.Assert.assertEquals;

import java.time.Clock;
import java.util.Arrays;
import java.util.Optional;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.Trace;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks positions of sessions, the capacity of the KV cache, and export and import of the KV cache. Like a real engine,
 * the stand-in does not check for repeated positions.
 */
public class EngineLoopTest {
    private static final int LAYERS = 8;

    private EngineLoop loop;

    @BeforeMethod
    public void start() {
        EngineOptions options =
                new EngineOptions("m", new LayerRange(0, LAYERS, LAYERS), "1", "a", 4, 100, 1, 40, true, 0);
        loop = new EngineLoop(options, new Faults(), new Trace(), Clock.systemUTC());
        loop.start();
    }

    @AfterMethod
    public void stop() {
        loop.stop();
    }

    @Test
    public void tokensMatchModelMath() {
        long[] expected = ModelMath.generate(new long[] {5, 6, 7}, LAYERS, 2);
        long[] first = run("a", 0, 5, 6, 7).outputs().orElseThrow();
        assertEquals(first[2], expected[0]);
        assertEquals(run("a", 3, expected[0]).outputs().orElseThrow()[0], expected[1]);
    }

    @Test
    public void promptLongerThanAChunkIsRunWhole() {
        EngineOptions options = new EngineOptions("m", new LayerRange(0, 2, 2), "1", "a", 4, 1, 0, 100_000, true, 0);
        EngineLoop wide = new EngineLoop(options, new Faults(), new Trace(), Clock.systemUTC());
        wide.start();
        long[] prompt = new long[1_000];
        Arrays.fill(prompt, 9);
        long[] outputs = wide.submit(new EngineMessages.Step("a", 0, prompt, 0, 1))
                .orElseThrow()
                .join()
                .outputs()
                .orElseThrow();
        wide.stop();
        assertEquals(outputs[999], ModelMath.generate(prompt, 2, 1)[0]);
    }

    @Test
    public void gapAndUnknownSessionAreErrors() {
        run("a", 0, 5, 6);
        assertEquals(run("a", 3, 7).error(), Optional.of("gap"));
        assertEquals(run("b", 1, 7).error(), Optional.of("no-session"));
    }

    @Test
    public void fullCacheRefusesUntilASessionIsCancelled() {
        run("a", 0, new long[30]);
        assertEquals(run("b", 0, new long[20]).error(), Optional.of("kv-full"));
        loop.cancel("a");
        assertEquals(run("b", 0, new long[20]).error(), Optional.empty());
    }

    @Test
    public void importedKvContinuesAtTheExportedPosition() {
        long[] expected = ModelMath.generate(new long[] {5, 6}, LAYERS, 2);
        run("a", 0, 5, 6);
        loop.importKv("b", loop.exportKv("a").orElseThrow());
        assertEquals(run("b", 2, expected[0]).outputs().orElseThrow()[0], expected[1]);
    }

    private EngineMessages.Result run(String session, int position, long... inputs) {
        return loop.submit(new EngineMessages.Step(session, position, inputs, 0, 1))
                .orElseThrow()
                .join();
    }
}
