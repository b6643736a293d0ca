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
 * Guards against incompatible messages between adjacent versions, which are linked during a rolling upgrade: the newer
 * process sends an unknown field, the older one omits fields. If either closed the link, each upgrade would disconnect
 * the fleet until its end.
 */
public class MixedVersionsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    @Test
    public void aHeartbeatWithoutLaterFieldsAndWithAnUnknownOneIsRead() throws Exception {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("state", "ACTIVE");
        body.put("tableOffset", 12);
        body.put("fieldOfALaterVersion", "x");
        Heartbeat heartbeat = (Heartbeat) read(MessageType.HEARTBEAT, body);
        assertEquals(heartbeat.tableOffset(), 12);
        assertEquals(heartbeat.offer(), Optional.empty());
        assertEquals(heartbeat.setAside(), List.of());
        assertTrue(heartbeat.demand().isEmpty());
        assertEquals(heartbeat.term(), 0);
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
