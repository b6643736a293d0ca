package org.cornelramp.wire.codec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cornelramp.wire.message.Message;

/**
 * Cuts the bytes of one link into frames and reads them. Confined to one thread.
 *
 * <p>Invariant: it never holds more than one frame of the largest size and one read. The length is checked before
 * room is made for it: four bytes of garbage must not cost gigabytes.
 */
public final class FrameReader {
    private static final int START_BYTES = 4 << 10;
    private static final int KEPT_BYTES = 64 << 10;

    private final int maxBytes;
    private ByteBuffer held = ByteBuffer.allocate(START_BYTES).limit(0);

    /**
     * @param maxBytes largest frame, without its length
     */
    public FrameReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes the bytes that a link gave, whole frames or not; the buffer is read to its end. */
    public void feed(ByteBuffer bytes) {
        if (!held.hasRemaining()) {
            // One large frame must not hold its room for the rest of the link's life.
            held = held.capacity() > KEPT_BYTES ? ByteBuffer.allocate(START_BYTES) : held;
            held.clear().limit(0);
        }
        int need = held.remaining() + bytes.remaining();
        if (held.capacity() - held.limit() < bytes.remaining()) {
            held = moved(Math.max(need, need > START_BYTES ? need + need / 2 : START_BYTES));
        }
        int from = held.position();
        int to = held.limit();
        held.limit(to + bytes.remaining()).position(to);
        held.put(bytes);
        held.position(from);
    }

    private ByteBuffer moved(int capacity) {
        return ByteBuffer.allocate(capacity).put(held).flip();
    }

    /** Bytes that wait for the rest of their frame. */
    int held() {
        return held.remaining();
    }

    /**
     * Reads the next whole frame; empty until more bytes are fed.
     *
     * @throws FrameException if the frame cannot be read; after one that is not {@link FrameException.Kind#isFatal
     *     fatal} the frame is skipped and reading goes on with the next
     */
    public Optional<Message> next() throws FrameException {
        if (held.remaining() < FrameWriter.LENGTH_BYTES) {
            return Optional.empty();
        }
        int length = held.getInt(held.position());
        check(length);
        if (held.remaining() < FrameWriter.LENGTH_BYTES + length) {
            return Optional.empty();
        }
        held.position(held.position() + FrameWriter.LENGTH_BYTES);
        byte version = held.get();
        int type = held.get();
        int bodyBytes = length - FrameWriter.TAG_BYTES;
        int body = held.position();
        held.position(body + bodyBytes);
        if (version != FrameWriter.VERSION) {
            throw new FrameException(
                    FrameException.Kind.UNKNOWN_VERSION,
                    "A frame has version " + version + " and this side reads " + FrameWriter.VERSION);
        }
        return Optional.of(read(type, body, bodyBytes));
    }

    private void check(int length) throws FrameException {
        if (length < FrameWriter.TAG_BYTES) {
            throw new FrameException(FrameException.Kind.TOO_SHORT, "A frame has the length " + length);
        }
        if (length > maxBytes) {
            throw new FrameException(
                    FrameException.Kind.TOO_LARGE,
                    "A frame of " + length + " bytes is above bounds.frameBytes " + maxBytes);
        }
    }

    private Message read(int number, int body, int bodyBytes) throws FrameException {
        MessageType type = MessageType.of(number)
                .orElseThrow(() -> new FrameException(
                        FrameException.Kind.UNKNOWN_TYPE, "A message of type " + number + " is not known"));
        try {
            Message message = FrameMapper.MAPPER.readValue(held.array(), body, bodyBytes, type.form());
            if (message == null) {
                throw new FrameException(FrameException.Kind.MALFORMED_BODY, "A " + type + " frame holds nothing");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            // The decoder reports some garbage by unchecked exceptions; on the network thread they would end all links.
            throw new FrameException(FrameException.Kind.MALFORMED_BODY, "The body of a " + type + " is malformed", e);
        }
    }
}
