package org.cornelramp.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the bytes of an event stream into whole events. Owned by one thread at a time.
 *
 * <p>A backend server may stop in the middle of an event. If the first half were passed on, the rest could not come
 * from another server, which sends the whole event again; so only whole events leave, and the id of the last one
 * tells where another server goes on.
 */
final class EventSplitter {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NOTHING = new byte[0];

    /** An event larger than this is not one: the largest have a few kilobytes. */
    private static final int MAX_EVENT = 1 << 20;

    private byte[] kept = NOTHING;
    private long lastId = -1;
    private boolean overflowed;

    /** Takes bytes and gives the whole events that they complete; the buffer given belongs to the caller. */
    ByteBuffer take(ByteBuffer bytes) {
        byte[] all = Arrays.copyOf(kept, kept.length + bytes.remaining());
        bytes.get(all, kept.length, bytes.remaining());
        int end = 0;
        int lineStart = 0;
        for (int i = 0; i < all.length; i++) {
            if (all[i] != '\n') {
                continue;
            }
            boolean empty = i == lineStart || (i == lineStart + 1 && all[lineStart] == '\r');
            if (empty) {
                readId(all, end, i);
                end = i + 1;
            }
            lineStart = i + 1;
        }
        kept = end == all.length ? NOTHING : Arrays.copyOfRange(all, end, all.length);
        if (kept.length > MAX_EVENT) {
            overflowed = true;
            kept = NOTHING;
        }
        return ByteBuffer.wrap(all, 0, end);
    }

    /** Whether the bytes so far end with a whole event. */
    boolean isWhole() {
        return kept.length == 0 && !overflowed;
    }

    /** Whether an event was too large to be one, so that the rest of the stream cannot be read. */
    boolean hasOverflowed() {
        return overflowed;
    }

    /** Id of the last whole event; -1 if there was none. */
    long lastId() {
        return lastId;
    }

    private void readId(byte[] all, int from, int to) {
        for (int at = from; at < to; at = nextLine(all, at, to)) {
            if (Arrays.mismatch(all, at, Math.min(at + ID.length, to), ID, 0, ID.length) >= 0) {
                continue;
            }
            long id = 0;
            boolean digits = false;
            for (int i = at + ID.length; i < to && all[i] != '\n' && all[i] != '\r'; i++) {
                if (all[i] >= '0' && all[i] <= '9') {
                    id = id * 10 + (all[i] - '0');
                    digits = true;
                }
            }
            lastId = digits ? id : lastId;
        }
    }

    private static int nextLine(byte[] all, int from, int to) {
        int at = from;
        while (at < to && all[at] != '\n') {
            at++;
        }
        return at + 1;
    }
}
