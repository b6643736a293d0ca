package org.cornelramp.core.path;

import java.util.List;

/**
 * The leading parts of a prompt that other requests may share. Immutable, safe for use by any thread.
 *
 * <p>A level is a number of leading parts; it is identified by a hash over all of their ids, as the memory of a part
 * depends on the parts before it. Two different beginnings with the same hash only make an estimate wrong.
 */
public final class PromptPrefix {
    /** A prompt that shares nothing. */
    public static final PromptPrefix NONE = new PromptPrefix(new int[0], new int[0]);

    private final int[] hashes;
    private final int[] tokens;

    /**
     * One part of a prompt. Immutable, safe for use by any thread.
     *
     * @param id identifies its contents
     * @param tokens number of its tokens
     */
    public record Part(String id, int tokens) {}

    private PromptPrefix(int[] hashes, int[] tokens) {
        this.hashes = hashes;
        this.tokens = tokens;
    }

    /** The prefix with these parts, in order. */
    public static PromptPrefix of(List<Part> parts) {
        int[] hashes = new int[parts.size()];
        int[] tokens = new int[parts.size()];
        int hash = 1;
        long sum = 0;
        for (int i = 0; i < hashes.length; i++) {
            hash = mix(31 * hash + parts.get(i).id().hashCode());
            sum += parts.get(i).tokens();
            hashes[i] = hash;
            tokens[i] = (int) Math.min(Integer.MAX_VALUE, sum);
        }
        return new PromptPrefix(hashes, tokens);
    }

    /** Spreads similar values over all bits, as ids often differ in their last characters only. */
    static int mix(int value) {
        int spread = (value ^ (value >>> 16)) * 0x85ebca6b;
        return spread ^ (spread >>> 13);
    }

    /** Number of levels. */
    public int levels() {
        return hashes.length;
    }

    /** Identifies the first {@code level} parts, from 1. */
    int hash(int level) {
        return hashes[level - 1];
    }

    /** Tokens of the first {@code level} parts together; 0 for level 0. */
    public int tokens(int level) {
        return level == 0 ? 0 : tokens[level - 1];
    }
}
