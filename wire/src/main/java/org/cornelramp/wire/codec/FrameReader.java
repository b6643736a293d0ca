package org.cornelramp.wire.codec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.cornelramp.wire.message.Message;

/**
 * Splits the bytes of one link into frames and decodes them. Confined to one thread.
 *
 * <p>Invariant: it never buffers more than one frame of the largest size and one read. The length is checked before
 * memory is allocated for it, so that four invalid bytes cannot allocate gigabytes.
 */
public final class FrameReader {
    private static final int INITIAL_CAPACITY = 4 << 10;
    private static final int MAX_RETAINED_CAPACITY = 64 << 10;

    private final int maxBytes;
    private ByteBuffer buffered = ByteBuffer.allocate(INITIAL_CAPACITY).limit(0);

    /**
     * @param maxBytes largest frame in bytes, without its length field
     */
    public FrameReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds bytes that a link received, which need not be whole frames; the given buffer is consumed. */
    public void feed(ByteBuffer bytes) {
        if (!buffered.hasRemaining()) {
            // The buffer of one large frame is released instead of being kept until the link closes.
            buffered = buffered.capacity() > MAX_RETAINED_CAPACITY ? ByteBuffer.allocate(INITIAL_CAPACITY) : buffered;
            buffered.clear().limit(0);
        }
        int needed = buffered.remaining() + bytes.remaining();
        if (buffered.capacity() - buffered.limit() < bytes.remaining()) {
            buffered = resized(Math.max(needed, needed > INITIAL_CAPACITY ? needed + needed / 2 : INITIAL_CAPACITY));
        }
        int from = buffered.position();
        int to = buffered.limit();
        buffered.limit(to + bytes.remaining()).position(to);
        buffered.put(bytes);
        buffered.position(from);
    }

    private ByteBuffer resized(int capacity) {
        return ByteBuffer.allocate(capacity).put(buffered).flip();
    }

    /** Number of buffered bytes that are not decoded yet. */
    int buffered() {
        return buffered.remaining();
    }

    /**
     * Decodes the next whole frame; empty until more bytes are added.
     *
     * @throws FrameException if the frame cannot be decoded; after an exception that is not
     *     {@link FrameException.Kind#isFatal fatal} the frame is skipped and decoding continues with the next
     */
    public Optional<Message> next() throws FrameException {
        if (buffered.remaining() < FrameWriter.LENGTH_BYTES) {
            return Optional.empty();
        }
        int length = buffered.getInt(buffered.position());
        checkLength(length);
        if (buffered.remaining() < FrameWriter.LENGTH_BYTES + length) {
            return Optional.empty();
        }
        buffered.position(buffered.position() + FrameWriter.LENGTH_BYTES);
        byte version = buffered.get();
        int type = buffered.get();
        int bodyBytes = length - FrameWriter.VERSION_AND_TYPE_BYTES;
        int body = buffered.position();
        buffered.position(body + bodyBytes);
        if (version != FrameWriter.VERSION) {
            throw new FrameException(
                    FrameException.Kind.UNKNOWN_VERSION,
                    "A frame has version " + version + " but this process supports " + FrameWriter.VERSION);
        }
        return Optional.of(decodeBody(type, body, bodyBytes));
    }

    private void checkLength(int length) throws FrameException {
        if (length < FrameWriter.VERSION_AND_TYPE_BYTES) {
            throw new FrameException(FrameException.Kind.TOO_SHORT, "A frame has the invalid length " + length);
        }
        if (length > maxBytes) {
            throw new FrameException(
                    FrameException.Kind.TOO_LARGE,
                    "A frame of " + length + " bytes exceeds bounds.frameBytes " + maxBytes);
        }
    }

    private Message decodeBody(int number, int body, int bodyBytes) throws FrameException {
        MessageType type = MessageType.of(number)
                .orElseThrow(() ->
                        new FrameException(FrameException.Kind.UNKNOWN_TYPE, "Message type " + number + " is unknown"));
        try {
            Message message = FrameMapper.MAPPER.readValue(buffered.array(), body, bodyBytes, type.messageClass());
            if (message == null) {
                throw new FrameException(FrameException.Kind.MALFORMED_BODY, "A " + type + " frame has a null body");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            // The decoder throws unchecked exceptions for some malformed input; on the network thread they would end
            // all links.
            throw new FrameException(FrameException.Kind.MALFORMED_BODY, "The body of a " + type + " is malformed", e);
        }
    }
}
