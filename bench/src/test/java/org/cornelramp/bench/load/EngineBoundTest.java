package org.cornelramp.bench.load;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cornelramp.bench.fleet.StagePlan;
import org.testng.annotations.Test;

/** The bound is that of the slowest stage, summed over its engines. */
public class EngineBoundTest {

    @Test
    public void slowestStageBoundsTheWhole() {
        StagePlan first = new StagePlan("0:8:16", "a", 10_000, 100);
        StagePlan second = new StagePlan("8:16:16", "b", 20_000, 200);
        EngineBound bound = new EngineBound(List.of(first, second, second), 10);
        // 5 tokens after a prompt of 6: 5 slots of 1 ms and 10 inputs of 0.1 ms make 6 ms at the first engine.
        assertEquals(bound.requestsPerSecond(6, 5), 1_000 / 6.0, 1e-6);
        EngineBound half = new EngineBound(List.of(first, second), 10);
        assertEquals(half.requestsPerSecond(6, 5), 1_000 / 12.0, 1e-6);
    }
}
