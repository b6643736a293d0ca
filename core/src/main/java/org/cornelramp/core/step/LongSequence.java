package org.cornelramp.core.step;

import java.util.Arrays;

/** A growable queue of {@code long} values without boxing. Confined to one thread. */
final class LongSequence {
    private static final int INITIAL_CAPACITY = 16;

    private long[] values = new long[INITIAL_CAPACITY];
    private int firstIndex;
    private int endIndex;

    int size() {
        return endIndex - firstIndex;
    }

    void add(long[] source, int start, int end) {
        int count = end - start;
        if (endIndex + count > values.length) {
            int size = size();
            long[] larger = new long[Math.max(INITIAL_CAPACITY, (size + count) * 3 / 2)];
            System.arraycopy(values, firstIndex, larger, 0, size);
            values = larger;
            firstIndex = 0;
            endIndex = size;
        }
        System.arraycopy(source, start, values, endIndex, count);
        endIndex += count;
    }

    /** Copies a range; the indices count from the first element that has not been dropped. */
    long[] copy(int start, int end) {
        return Arrays.copyOfRange(values, firstIndex + start, firstIndex + end);
    }

    void dropFirst(int count) {
        if (count > size()) {
            throw new IllegalStateException("A sequence of " + size() + " elements cannot drop " + count);
        }
        firstIndex += count;
    }

    void truncate(int count) {
        endIndex = firstIndex + count;
    }
}
