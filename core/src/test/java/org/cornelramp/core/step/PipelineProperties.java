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
 * Stages die, leave with their cache, and lose links while a request runs; steps come late, twice, and from older
 * epochs. Every engine runs each position once and in order (the model's engines fail otherwise), and the caller
 * gets the tokens of a run that nothing disturbed.
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
    void tokensEqualTheUndisturbedRun(
            @ForAll @IntRange(min = 1, max = 4) int stages,
            @ForAll @IntRange(min = 1, max = 5) int promptTokens,
            @ForAll @IntRange(min = 1, max = 12) int maxTokens,
            @ForAll("choices") List<Integer> choices) {
        long[] prompt = new long[promptTokens];
        for (int i = 0; i < promptTokens; i++) {
            prompt[i] = 3 + 7L * i;
        }
        PipelineModel model = new PipelineModel(stages, prompt, maxTokens);
        choices.forEach(model::act);
        model.settle();
        List<Long> expected = PipelineModel.undisturbed(stages, prompt, maxTokens);
        if (!model.answer().equals(expected)) {
            throw new AssertionError("Expected " + expected + " and got " + model.answer());
        }
    }
}
