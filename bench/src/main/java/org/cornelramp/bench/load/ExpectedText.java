package org.cornelramp.bench.load;

import java.nio.charset.StandardCharsets;
import org.cornelramp.standins.engine.ModelMath;

/**
 * The text that the stand-in model must generate. Immutable, safe for use by any thread.
 *
 * <p>Computed from the request alone and without code of the product, so that a fault there cannot affect the check.
 */
public final class ExpectedText {
    private static final int RADIX = 36;
    private static final int BYTE = 0xff;

    private final int layers;

    /** @param layers layers of the whole model */
    public ExpectedText(int layers) {
        this.layers = layers;
    }

    /** The whole text that answers one message. */
    public String of(String content, int tokens) {
        StringBuilder text = new StringBuilder();
        for (long token : ModelMath.generate(promptOf(content), layers, tokens)) {
            text.append('w').append(Long.toString(token, RADIX)).append(' ');
        }
        return text.toString();
    }

    private static long[] promptOf(String content) {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        long[] prompt = new long[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            prompt[i] = (bytes[i] & BYTE) + 1L;
        }
        return prompt;
    }
}
