package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import org.testng.annotations.Test;

/** How many pieces a buffered body may have. */
public class ResponseBufferTest {
    private static final int MAX_PIECES = 16_384;

    /** Guards against a body in chunks of 16 bytes of which 262,144 are read before its length reaches the limit. */
    @Test
    public void piecesAreLimitedByTheirNumberToo() {
        ResponseBuffer buffer = new ResponseBuffer();
        for (int i = 0; i < MAX_PIECES; i++) {
            assertEquals(buffer.add(ByteBuffer.allocate(16)), ResponseBuffer.Result.KEPT, "piece " + i);
        }
        assertEquals(buffer.add(ByteBuffer.allocate(16)), ResponseBuffer.Result.TOO_LONG);
        buffer.releaseMemory();
    }
}
