package org.cornelramp.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.ByteBuffer;
import org.cornelramp.wire.message.Message;

/**
 * Writes messages as frames: a length of 4 bytes that counts what follows it, the version and the type of one byte
 * each, and a MessagePack map. Immutable, safe for use by any thread.
 */
public final class FrameWriter {
    /** Version of the frame's form. */
    public static final byte VERSION = 1;
    /** Bytes of the length. */
    static final int LENGTH_BYTES = 4;
    /** Bytes of version and type. */
    static final int TAG_BYTES = 2;

    private final int maxBytes;

    /**
     * @param maxBytes largest frame, without its length
     */
    public FrameWriter(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Writes one message; the buffer is ready to be read. */
    public ByteBuffer write(Message message) throws FrameException {
        byte[] body = body(message);
        int length = TAG_BYTES + body.length;
        if (length > maxBytes) {
            throw new FrameException(
                    FrameException.Kind.TOO_LARGE,
                    "A " + MessageType.of(message) + " of " + length + " bytes is above bounds.frameBytes " + maxBytes);
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
            throw new FrameException(FrameException.Kind.MALFORMED_BODY, "The message cannot be written", e);
        }
    }
}
