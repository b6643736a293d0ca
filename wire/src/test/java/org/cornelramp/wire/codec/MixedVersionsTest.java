package org.cornelramp.wire.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.Message;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.Test;

/**
 * Processes of neighbouring versions are linked during a rolling replacement. The newer sends a field that the older
 * does not know; the older leaves out fields that the newer has. Both must read on, or each replacement would cut all
 * links for its whole length.
 */
public class MixedVersionsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    @Test
    public void aHeartbeatWithoutLaterFieldsAndWithAnUnknownOneIsRead() throws Exception {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("state", "ACTIVE");
        body.put("tableOffset", 12);
        body.put("fieldOfALaterVersion", "x");
        Heartbeat beat = (Heartbeat) read(MessageType.HEARTBEAT, body);
        assertEquals(beat.tableOffset(), 12);
        assertEquals(beat.offer(), Optional.empty());
        assertEquals(beat.setAside(), List.of());
        assertTrue(beat.demand().isEmpty());
        assertEquals(beat.term(), 0);
    }

    @Test
    public void aCallWithoutOptionalFieldsIsRead() throws Exception {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("call", 3);
        body.put("organisation", "ward");
        Invoke invoke = (Invoke) read(MessageType.INVOKE, body);
        assertEquals(invoke.key(), Optional.empty());
        assertEquals(invoke.body().length, 0);
        assertEquals(invoke.path(), "");
    }

    private static Message read(MessageType type, ObjectNode body) throws Exception {
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        ByteBuffer frame = ByteBuffer.allocate(6 + bytes.length);
        frame.putInt(2 + bytes.length)
                .put(FrameWriter.VERSION)
                .put((byte) type.number())
                .put(bytes);
        FrameReader reader = new FrameReader(1 << 16);
        reader.feed(frame.flip());
        return reader.next().orElseThrow();
    }
}
