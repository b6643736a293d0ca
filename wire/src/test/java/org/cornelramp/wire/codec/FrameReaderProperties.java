package org.cornelramp.wire.codec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.Settle;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.TableRequest;

/**
 * For arbitrary bytes in chunks of any size, the reader returns messages or typed errors and its buffer stays bounded.
 */
class FrameReaderProperties {
    private static final int MAX = 2_000;

    @Property(seed = "606", tries = 5_000)
    void arbitraryBytesGiveTypedErrors(@ForAll byte[] garbage, @ForAll @IntRange(min = 1, max = 40) int chunkSize) {
        readAll(garbage, chunkSize);
    }

    /** Guards against untyped exceptions of the body decoder, which is reached by frames with a valid header. */
    @Property(seed = "607", tries = 5_000)
    void arbitraryBodiesInValidFramesGiveTypedErrors(
            @ForAll @Size(max = 200) byte[] body, @ForAll @IntRange(max = 45) int type) {
        ByteBuffer frame = ByteBuffer.allocate(6 + body.length);
        frame.putInt(2 + body.length).put(FrameWriter.VERSION).put((byte) type).put(body);
        readAll(frame.array(), 7);
    }

    /** One byte of a valid frame is changed. */
    @Property(seed = "608", tries = 3_000)
    void aChangedByteGivesAMessageOrATypedError(@ForAll @IntRange(max = 300) int index, @ForAll byte value)
            throws FrameException {
        byte[] bytes = new FrameWriter(MAX).write(new StageOpened(4, 1, 2, 900)).array();
        bytes[index % bytes.length] = value;
        readAll(bytes, 3);
    }

    @Property(seed = "609", tries = 1_000)
    void chunksOfAnySizeGiveTheSameMessages(
            @ForAll @Size(max = 12) List<@IntRange(max = 100_000) Integer> numbers,
            @ForAll @IntRange(min = 1, max = 90) int chunkSize)
            throws FrameException {
        List<Message> sent = new ArrayList<>();
        ByteBuffer all = ByteBuffer.allocate(4_000);
        for (int number : numbers) {
            Message message = new TableRequest(number);
            sent.add(message);
            all.put(new FrameWriter(MAX).write(message));
        }
        byte[] bytes = new byte[all.flip().remaining()];
        all.get(bytes);
        if (!readAll(bytes, chunkSize).equals(sent)) {
            throw new AssertionError("The messages read differ from the messages written");
        }
    }

    /** Reads until a fatal error, as a link does. */
    private static List<Message> readAll(byte[] bytes, int chunkSize) {
        FrameReader reader = new FrameReader(MAX);
        List<Message> messages = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += chunkSize) {
            reader.feed(ByteBuffer.wrap(bytes, at, Math.min(chunkSize, bytes.length - at)));
            if (!drain(reader, messages)) {
                return messages;
            }
            if (reader.buffered() > MAX + 4 + chunkSize) {
                throw new AssertionError("The reader buffers " + reader.buffered() + " bytes");
            }
        }
        return messages;
    }

    private static boolean drain(FrameReader reader, List<Message> messages) {
        while (true) {
            try {
                Optional<Message> message = reader.next();
                if (message.isEmpty()) {
                    return true;
                }
                if (!(message.get() instanceof Settle)) {
                    messages.add(message.get());
                }
            } catch (FrameException e) {
                if (e.kind().isFatal()) {
                    return false;
                }
            }
        }
    }
}
