package org.cornelramp.core.step;

/**
 * Index of a stage in its pipeline, and the length limits of the session. Immutable, safe for use by any thread.
 *
 * <p>Position j of the input is prompt token j, then generated token j - promptTokens. The output of the last stage
 * at position promptTokens - 1 + i is generated token i.
 *
 * @param stage index of the stage, from 0
 * @param stages number of stages
 * @param promptTokens number of tokens of the prompt
 * @param maxTokens maximum number of tokens to generate
 */
public record StageSpec(int stage, int stages, int promptTokens, int maxTokens) {
    /** The generated token that ends an answer. */
    public static final long END_TOKEN = 0;

    public StageSpec {
        if (stage < 0 || stage >= stages || promptTokens < 1 || maxTokens < 1) {
            throw new IllegalArgumentException(
                    "A stage needs 0 <= stage < stages, a prompt token and a token to generate");
        }
    }

    /** Whether this is the first stage, whose inputs are token numbers. */
    public boolean isFirst() {
        return stage == 0;
    }

    /** Whether this is the last stage, whose outputs are token numbers. */
    public boolean isLast() {
        return stage == stages - 1;
    }

    /** The position after the last one that is run: the last generated token is not fed back as an input. */
    public int positionLimit() {
        return promptTokens + maxTokens - 1;
    }

    /** Whether the input at a position is a generated token that ends the answer. */
    public boolean isEnd(int position, long input) {
        return isFirst() && position >= promptTokens && input == END_TOKEN;
    }
}
