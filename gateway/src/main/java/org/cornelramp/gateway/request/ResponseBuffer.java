package org.cornelramp.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * The body of a response that is forwarded as a whole, with a limit of its length and a share of the memory for all
 * buffered responses. Safe for use by any thread. Invariant: nothing is reserved after {@link #releaseMemory}.
 */
final class ResponseBuffer {
    /** Longest body; no plain service sends a longer one. */
    static final int MAX_BYTES = 4 << 20;

    /**
     * Least size that a piece of content counts with. The HTTP library delivers each chunk as a piece and takes about
     * half a microsecond for it, so a body in chunks of 16 bytes took 30 times the processor time of one in blocks of
     * 16 KB. With this size 16,384 pieces are accepted; valid short bodies may arrive in chunks of one byte.
     */
    private static final int MIN_PIECE_BYTES = 256;

    /** Part of each body that is not counted in the shared memory, so that short ones are always read. */
    private static final int UNCOUNTED_BYTES = 64 << 10;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long countedBytes;
    private long reservedBytes;
    private boolean released;

    /** What became of added bytes. Immutable, safe for use by any thread. */
    enum Result {
        KEPT,
        TOO_LONG,
        NO_MEMORY
    }

    synchronized Result add(ByteBuffer added) {
        int size = bytes.size() + added.remaining();
        countedBytes += Math.max(MIN_PIECE_BYTES, added.remaining());
        if (countedBytes > MAX_BYTES) {
            return Result.TOO_LONG;
        }
        long more = Math.max(0, size - UNCOUNTED_BYTES - reservedBytes);
        if (released || !ResponseMemory.SHARED.reserve(more)) {
            return Result.NO_MEMORY;
        }
        reservedBytes += more;
        byte[] copy = new byte[added.remaining()];
        added.get(copy);
        bytes.writeBytes(copy);
        return Result.KEPT;
    }

    synchronized byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /** Returns the memory to the other responses, once the body is not added to any more. */
    synchronized void releaseMemory() {
        released = true;
        ResponseMemory.SHARED.release(reservedBytes);
        reservedBytes = 0;
    }
}
