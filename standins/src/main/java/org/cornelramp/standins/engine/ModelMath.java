package org.cornelramp.standins.engine;

/**
 * The model that the stand-in engines run: a chain of hashes instead of a neural network.
 *
 * <p>Each layer of a session keeps one 64-bit word instead of a KV cache. The output of a layer depends on its input and
 * on all earlier positions of the session, so a step that is skipped, repeated or run out of order changes every
 * later token. Checkers compute the expected tokens with {@link #generate}. Stateless, safe for use by any thread.
 */
public final class ModelMath {
    /** Number of tokens: token numbers range from 0, the end token, to this number minus one. */
    public static final int VOCABULARY = 4_096;

    private static final long LAYER_STEP = 0x9E3779B97F4A7C15L;
    private static final long MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
    private static final long MULTIPLIER_2 = 0x94D049BB133111EBL;

    private ModelMath() {}

    /**
     * Runs consecutive layers on one position.
     *
     * @param kv state of each of these layers; changed
     * @param from number of the first layer
     * @param input activation before the first layer
     * @return activation after the last layer
     */
    public static long runLayers(long[] kv, int from, long input) {
        long x = input;
        for (int i = 0; i < kv.length; i++) {
            kv[i] = mix(kv[i], x, from + i);
            x = mix(x, kv[i], from + i);
        }
        return x;
    }

    /** Maps an activation after the last layer to its token number; never the end token. */
    public static long token(long activation) {
        return 1 + (activation >>> 1) % (VOCABULARY - 1);
    }

    /** The tokens that the whole model generates in a run without faults. */
    public static long[] generate(long[] promptTokens, int layers, int count) {
        long[] kv = new long[layers];
        long last = 0;
        for (long prompt : promptTokens) {
            last = token(runLayers(kv, 0, prompt));
        }
        long[] generated = new long[count];
        for (int i = 0; i < count; i++) {
            generated[i] = last;
            last = token(runLayers(kv, 0, last));
        }
        return generated;
    }

    /** Extends the hash of a prefix by one input; the empty prefix has hash 0. */
    public static long prefixHash(long hash, long input) {
        return mix(hash, input, VOCABULARY);
    }

    private static long mix(long a, long b, int layer) {
        long z = a * MULTIPLIER_1 + Long.rotateLeft(b, 29) + (layer + 1) * LAYER_STEP;
        z = (z ^ (z >>> 30)) * MULTIPLIER_1;
        z = (z ^ (z >>> 27)) * MULTIPLIER_2;
        return z ^ (z >>> 31);
    }
}
