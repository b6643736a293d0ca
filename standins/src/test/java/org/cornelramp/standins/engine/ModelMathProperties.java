package org.cornelramp.standins.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Stages that each hold a range of layers generate together the same tokens as one engine with all layers. */
class ModelMathProperties {
    private static final int LAYERS = 12;
    private static final int COUNT = 6;

    @Property(seed = "7731", tries = 200)
    void stagesGiveTheSameTokens(
            @ForAll @Size(min = 1, max = 20) @LongRange(min = 1, max = 256) long[] prompt,
            @ForAll @IntRange(min = 1, max = LAYERS - 1) int cut) {
        long[] first = new long[cut];
        long[] second = new long[LAYERS - cut];
        long[] generated = new long[COUNT];
        long token = 0;
        for (long input : prompt) {
            token = runBoth(first, second, input);
        }
        for (int i = 0; i < COUNT; i++) {
            generated[i] = token;
            token = runBoth(first, second, token);
        }
        assertEquals(generated, ModelMath.generate(prompt, LAYERS, COUNT));
    }

    @Property(seed = "7732", tries = 200)
    void repeatedStepChangesWhatIsGenerated(
            @ForAll @Size(min = 1, max = 20) @LongRange(min = 1, max = 256) long[] prompt) {
        long[] repeated = Arrays.copyOf(prompt, prompt.length + 1);
        repeated[prompt.length] = prompt[prompt.length - 1];
        assertFalse(
                Arrays.equals(ModelMath.generate(repeated, LAYERS, COUNT), ModelMath.generate(prompt, LAYERS, COUNT)));
    }

    @Property(seed = "7733")
    void endTokenIsNeverGenerated(@ForAll long activation) {
        long token = ModelMath.token(activation);
        assertEquals(token > 0 && token < ModelMath.VOCABULARY, true);
    }

    private static long runBoth(long[] first, long[] second, long input) {
        return ModelMath.token(ModelMath.runLayers(second, first.length, ModelMath.runLayers(first, 0, input)));
    }
}
