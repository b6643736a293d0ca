package org.cornelramp.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.ByteBuffer;
import org.cornelramp.wire.message.Message;

/**
 * Writes messages as frames: a length of 4 bytes that counts the bytes after it, a version and a message type of one
 * byte each, and a MessagePack map. Immutable, safe for use by any thread.
 */
public final class FrameWriter {
    /** Version of the frame format. */
    public static final byte VERSION = 1;
    /** Size of the length field in bytes. */
    static final int LENGTH_BYTES = 4;
    /** Size of the version and type fields in bytes. */
    static final int VERSION_AND_TYPE_BYTES = 2;

    private final int maxBytes;

    /**
     * @param maxBytes largest frame in bytes, without its length field
     */
    public FrameWriter(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Writes one message; the returned buffer is ready for reading.
     *
     * @throws FrameException if the message is larger than the bound or cannot be serialised
     */
    public ByteBuffer write(Message message) throws FrameException {
        byte[] body = body(message);
        int length = VERSION_AND_TYPE_BYTES + body.length;
        if (length > maxBytes) {
            throw new FrameException(
                    FrameException.Kind.TOO_LARGE,
                    "A " + MessageType.of(message) + " of " + length + " bytes exceeds bounds.frameBytes " + maxBytes);
        }
        ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + length);
        frame.putInt(length);
        frame.put(VERSION);
        frame.put((byte) MessageType.of(message).number());
        frame.put(body);
        return frame.flip();
    }

    private static byte[] body(Message message) throws FrameException {
        try {
            return FrameMapper.MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new FrameException(FrameException.Kind.MALFORMED_BODY, "The message cannot be serialised", e);
        }
    }
}
