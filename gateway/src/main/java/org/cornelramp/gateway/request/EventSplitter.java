package org.cornelramp.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the bytes of an event stream into whole events. Confined to one thread at a time.
 *
 * <p>A backend server may fail in the middle of an event. If the first half were forwarded, another server could not
 * supply the rest, because it sends the whole event again. So only whole events are forwarded, and the id of the last
 * one tells another server where to resume.
 *
 * <p>Invariant: the ids of the returned events increase strictly, with or without gaps, from above that of the event
 * after which the stream was resumed; from a chunk with an id that does not, nothing more is returned.
 */
final class EventSplitter {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EMPTY = new byte[0];

    /**
     * Size above which an unfinished event, or events without an id in a row, count as invalid; the largest valid events
     * have 64 KB.
     */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    /** Least size that a piece of content counts with, as each takes processor time; 16,384 pieces are accepted. */
    private static final int MIN_PIECE_BYTES = 16;

    /** Least size that events without an id count with if they are forwarded, as each write takes processor time. */
    private static final int MIN_WRITE_BYTES = 256;

    private final long resumedAfterId;
    private byte[] held = EMPTY;
    private int heldBytes;
    private int lineStart;
    private int bytesWithoutId;
    private int paddingBytes;
    private EventIds received;
    private EventIds newIds = EventIds.after(-1);
    private String disorder = "";
    private boolean overflowed;

    /** @param resumedAfterId id of the event after which the stream was resumed; -1 if it was not */
    EventSplitter(long resumedAfterId) {
        this.resumedAfterId = resumedAfterId;
        this.received = EventIds.after(resumedAfterId);
    }

    /**
     * Consumes bytes and returns the whole events that they complete; none once an id has not increased. The caller owns
     * the returned buffer.
     */
    ByteBuffer consume(ByteBuffer bytes) {
        newIds = EventIds.after(-1);
        int count = bytes.remaining();
        ByteBuffer events = split(bytes);
        countPadding(count, events.hasRemaining());
        return disorder.isEmpty() && !overflowed ? events : ByteBuffer.allocate(0);
    }

    private ByteBuffer split(ByteBuffer bytes) {
        int scanned = heldBytes;
        append(bytes);
        int end = 0;
        for (int i = scanned; i < heldBytes; i++) {
            if (held[i] != '\n') {
                continue;
            }
            boolean blankLine = i == lineStart || (i == lineStart + 1 && held[lineStart] == '\r');
            if (blankLine) {
                boolean named = readId(held, end, i);
                bytesWithoutId = named ? 0 : bytesWithoutId + i + 1 - end;
                end = i + 1;
            }
            lineStart = i + 1;
        }
        ByteBuffer events = ByteBuffer.wrap(held, 0, end);
        removeFirst(end);
        return events;
    }

    /** Counts what a piece takes beyond its bytes, and checks the limits. */
    private void countPadding(int count, boolean written) {
        int least = written ? MIN_WRITE_BYTES : MIN_PIECE_BYTES;
        paddingBytes = newIds.count() > 0 ? 0 : paddingBytes + Math.max(0, least - count);
        if (heldBytes > MAX_EVENT_BYTES || bytesWithoutId + paddingBytes > MAX_EVENT_BYTES) {
            overflowed = true;
            removeFirst(heldBytes);
        }
    }

    /** Adds bytes behind those held; the array grows by doubling, as a faulty server may send one byte at a time. */
    private void append(ByteBuffer bytes) {
        int size = heldBytes + bytes.remaining();
        if (size > held.length) {
            held = Arrays.copyOf(held, heldBytes == 0 ? size : Math.max(size, 2 * held.length));
        }
        int added = bytes.remaining();
        bytes.get(held, heldBytes, added);
        heldBytes += added;
    }

    /** Removes bytes by copying the others, since the caller owns the array of the events returned. */
    private void removeFirst(int count) {
        if (count > 0) {
            held = count == heldBytes ? EMPTY : Arrays.copyOfRange(held, count, heldBytes);
            heldBytes -= count;
            lineStart -= count;
        }
    }

    /** Whether the bytes so far end with a whole event. */
    boolean isWhole() {
        return heldBytes == 0 && !overflowed && disorder.isEmpty();
    }

    /** Whether an event exceeded the size limit, so that the rest of the stream cannot be parsed. */
    boolean hasOverflowed() {
        return overflowed;
    }

    /** Which id was not above the one before it; empty if there was none. */
    String disorder() {
        return disorder;
    }

    /** Ids of the whole events so far. */
    EventIds received() {
        return received;
    }

    /** Ids of the events that the last call of {@link #consume} returned. */
    EventIds newIds() {
        return newIds;
    }

    /** Reads the id of an event; false if it has none. */
    private boolean readId(byte[] joined, int from, int to) {
        long eventId = -1;
        for (int at = from; at < to; at = nextLine(joined, at, to)) {
            if (Arrays.mismatch(joined, at, Math.min(at + ID.length, to), ID, 0, ID.length) >= 0) {
                continue;
            }
            long id = 0;
            boolean digits = false;
            for (int i = at + ID.length; i < to && joined[i] != '\n' && joined[i] != '\r'; i++) {
                if (joined[i] >= '0' && joined[i] <= '9') {
                    id = id * 10 + (joined[i] - '0');
                    digits = true;
                }
            }
            eventId = digits ? id : eventId;
        }
        if (eventId >= 0) {
            accept(eventId);
        }
        return eventId >= 0;
    }

    private void accept(long id) {
        if (id <= received.lastId() && disorder.isEmpty()) {
            disorder = received.count() == 0
                    ? "the stream was resumed at event " + id + " instead of after " + resumedAfterId
                    : "event " + id + " was sent after event " + received.lastId();
        }
        received = received.plus(id);
        newIds = newIds.plus(id);
    }

    private static int nextLine(byte[] joined, int from, int to) {
        int at = from;
        while (at < to && joined[at] != '\n') {
            at++;
        }
        return at + 1;
    }
}
