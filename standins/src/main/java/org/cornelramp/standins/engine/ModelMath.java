package org.cornelramp.standins.engine;

/**
 * The model that stand-in engines run: a chain of hashes in place of a neural network.
 *
 * <p>Each layer of a session keeps one word in place of its KV cache. The output of a layer depends on its input and
 * on all earlier positions of the session, so a step that is skipped, repeated or run out of order changes every
 * later token. Checkers compute the expected tokens with {@link #generate}. Stateless, safe for use by any thread.
 */
public final class ModelMath {
    /** Token numbers run from 0, the end token, to this number less one. */
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
    public static long run(long[] kv, int from, long input) {
        long x = input;
        for (int i = 0; i < kv.length; i++) {
            kv[i] = mix(kv[i], x, from + i);
            x = mix(x, kv[i], from + i);
        }
        return x;
    }

    /** The token number that an activation after the last layer stands for; never the end token. */
    public static long token(long activation) {
        return 1 + (activation >>> 1) % (VOCABULARY - 1);
    }

    /** The tokens that an undisturbed run of the whole model generates. */
    public static long[] generate(long[] promptTokens, int layers, int count) {
        long[] kv = new long[layers];
        long last = 0;
        for (long prompt : promptTokens) {
            last = token(run(kv, 0, prompt));
        }
        long[] generated = new long[count];
        for (int i = 0; i < count; i++) {
            generated[i] = last;
            last = token(run(kv, 0, last));
        }
        return generated;
    }

    /** Continues the hash of a prefix by one input; an empty prefix has hash 0. */
    public static long prefix(long hash, long input) {
        return mix(hash, input, VOCABULARY);
    }

    private static long mix(long a, long b, int layer) {
        long z = a * MULTIPLIER_1 + Long.rotateLeft(b, 29) + (layer + 1) * LAYER_STEP;
        z = (z ^ (z >>> 30)) * MULTIPLIER_1;
        z = (z ^ (z >>> 27)) * MULTIPLIER_2;
        return z ^ (z >>> 31);
    }
}
