package org.cornelramp.gateway.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Numbers in the demand section: variable-length integers, as in Protocol Buffers, and levels of one byte. MessagePack
 * takes a byte more for each number from 128 to 16,383 and each hash. Stateless, safe for use by any thread.
 */
final class CompactNumbers {
    /** Levels for each doubling of a value; the largest error is 4.4%. */
    private static final double LEVELS_PER_DOUBLING = 8;

    private static final int MAX_LEVEL = 255;
    private static final int BITS = 7;
    private static final int CONTINUED = 1 << BITS;

    private CompactNumbers() {}

    /** Writes a number from 0 to the largest long, seven bits a byte, the lowest first. */
    static void writeNumber(long number, DataOutputStream out) throws IOException {
        long rest = number;
        while (rest >= CONTINUED) {
            out.writeByte((int) (rest & (CONTINUED - 1)) | CONTINUED);
            rest >>>= BITS;
        }
        out.writeByte((int) rest);
    }

    /** @throws IllegalArgumentException if there is no number from 0 to the largest long */
    static long readNumber(ByteBuffer in) {
        long number = 0;
        for (int shift = 0; shift < Long.SIZE - 1; shift += BITS) {
            int next = in.get();
            number |= (long) (next & (CONTINUED - 1)) << shift;
            if (next >= 0) {
                return number;
            }
        }
        throw new IllegalArgumentException("A number in a demand section has more than 63 bits");
    }

    /** @throws IllegalArgumentException if there is no number from 0 to the largest int */
    static int readInt(ByteBuffer in) {
        long number = readNumber(in);
        if (number > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("A number in a demand section has more than 31 bits; value=" + number);
        }
        return (int) number;
    }

    /** Writes a value rounded on a logarithmic scale up to 3.6 x 10^9; larger ones count as that. */
    static void writeLevel(long value, DataOutputStream out) throws IOException {
        long level = value == 0 ? 0 : 1 + Math.round(LEVELS_PER_DOUBLING * Math.log((double) value) / Math.log(2));
        out.writeByte((int) Math.min(MAX_LEVEL, level));
    }

    static long readLevel(ByteBuffer in) {
        int level = Byte.toUnsignedInt(in.get());
        return level == 0 ? 0 : Math.round(Math.pow(2, (level - 1) / LEVELS_PER_DOUBLING));
    }
}
