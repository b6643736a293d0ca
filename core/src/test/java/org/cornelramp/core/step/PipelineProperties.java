package org.cornelramp.core.step;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against wrong or missing tokens when stages die, leave with an export of their cache, or lose links during a
 * request, and when steps arrive late, twice or from older epochs. Every engine must run each position once and in
 * order (the simulated engines fail otherwise), and the caller must receive the tokens of a run without faults.
 */
class PipelineProperties {

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Arbitraries.integers()
                .between(0, 99_999)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofMaxSize(400)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    @Property(seed = "31337", tries = 1_500)
    void tokensEqualThoseOfAFaultFreeRun(
            @ForAll @IntRange(min = 1, max = 4) int stages,
            @ForAll @IntRange(min = 1, max = 5) int promptTokens,
            @ForAll @IntRange(min = 1, max = 12) int maxTokens,
            @ForAll("choices") List<Integer> choices) {
        long[] prompt = new long[promptTokens];
        for (int i = 0; i < promptTokens; i++) {
            prompt[i] = 3 + 7L * i;
        }
        PipelineSimulation simulation = new PipelineSimulation(stages, prompt, maxTokens);
        choices.forEach(simulation::step);
        simulation.runToEnd();
        List<Long> expected = PipelineSimulation.faultFreeAnswer(stages, prompt, maxTokens);
        if (!simulation.answer().equals(expected)) {
            throw new AssertionError("Expected " + expected + " and got " + simulation.answer());
        }
    }
}
