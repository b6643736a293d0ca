package org.cornelramp.core.step;

import java.util.Arrays;

/** A growing sequence of numbers without boxing. Confined to one thread. */
final class LongSequence {
    private static final int START = 16;

    private long[] values = new long[START];
    private int from;
    private int to;

    int size() {
        return to - from;
    }

    void add(long[] source, int start, int end) {
        int count = end - start;
        if (to + count > values.length) {
            int size = size();
            long[] larger = new long[Math.max(START, (size + count) * 3 / 2)];
            System.arraycopy(values, from, larger, 0, size);
            values = larger;
            from = 0;
            to = size;
        }
        System.arraycopy(source, start, values, to, count);
        to += count;
    }

    /** A copy of a part, by places from the first held. */
    long[] copy(int start, int end) {
        return Arrays.copyOfRange(values, from + start, from + end);
    }

    void dropFirst(int count) {
        if (count > size()) {
            throw new IllegalStateException("A sequence of " + size() + " cannot drop " + count);
        }
        from += count;
    }

    void keepFirst(int count) {
        to = from + count;
    }
}
