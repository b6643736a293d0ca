package org.cornelramp.gateway.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory for buffered responses, shared by all attempts of the process. Invariant: never more is reserved than the
 * limit. Safe for use by any thread.
 */
final class ResponseMemory {
    /** Part of the heap that may be reserved: an eighth, as a growing buffer takes up to three times its content. */
    private static final int HEAP_PART = 8;

    /** The memory of this process. */
    static final ResponseMemory SHARED = new ResponseMemory(
            Math.max(ResponseBuffer.MAX_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PART));

    private final long limit;
    private final AtomicLong reserved = new AtomicLong();

    ResponseMemory(long limit) {
        this.limit = limit;
    }

    /** Reserves memory; false, and reserves nothing, if there is not enough. */
    boolean reserve(long bytes) {
        long before = reserved.get();
        while (before + bytes <= limit) {
            if (reserved.compareAndSet(before, before + bytes)) {
                return true;
            }
            before = reserved.get();
        }
        return false;
    }

    void release(long bytes) {
        reserved.addAndGet(-bytes);
    }
}
