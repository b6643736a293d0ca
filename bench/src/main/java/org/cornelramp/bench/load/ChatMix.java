package org.cornelramp.bench.load;

import java.util.SplittableRandom;

/**
 * Draws chat requests that share no prefix. Confined to one thread.
 *
 * <p>The same seed draws the same requests.
 */
public final class ChatMix {
    private static final String FILLER = " a sofa, two mattresses and a refrigerator, please pick them up";

    private final SplittableRandom random;
    private final int[] demand;
    private final int promptBytes;
    private final int tokens;
    private final long deadlineMillis;
    private int number;

    /**
     * @param seed seed of the draws
     * @param demand relative demand of each organisation
     * @param promptBytes length of every prompt
     * @param tokens tokens that every request generates
     * @param deadlineMillis time allowed, in milliseconds
     */
    public ChatMix(long seed, int[] demand, int promptBytes, int tokens, long deadlineMillis) {
        this.random = new SplittableRandom(seed);
        this.demand = demand.clone();
        this.promptBytes = promptBytes;
        this.tokens = tokens;
        this.deadlineMillis = deadlineMillis;
    }

    /** The next request. */
    public ChatCall next() {
        StringBuilder content = new StringBuilder(Long.toHexString(random.nextLong()));
        while (content.length() < promptBytes) {
            content.append(FILLER);
        }
        content.setLength(promptBytes);
        return new ChatCall(organisation(), number++, content.toString(), tokens, deadlineMillis);
    }

    private int organisation() {
        int sum = 0;
        for (int each : demand) {
            sum += each;
        }
        int draw = random.nextInt(sum);
        int organisation = 0;
        while (draw >= demand[organisation]) {
            draw -= demand[organisation++];
        }
        return organisation;
    }
}
