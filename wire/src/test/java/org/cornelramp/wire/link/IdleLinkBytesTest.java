package org.cornelramp.wire.link;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.cornelramp.core.settings.HostPort;
import org.testng.annotations.Test;

/**
 * Guards against idle links that resend the full heartbeat in each interval: that took 2.8 KB a second on each link,
 * while a node may use 4 KB a second for all control traffic. An unchanged heartbeat is sent as a frame of a few bytes,
 * and the peer's listener still receives a full heartbeat in each interval.
 */
public class IdleLinkBytesTest {
    private static final LinkOptions FREQUENT_HEARTBEATS = LinkOptions.of(300, 1 << 16);
    private static final int BEAT_FRAME_BYTES = 7;
    private static final int FEW = 4;
    private static final int MANY = 12;

    @Test
    public void anUnchangedHeartbeatTakesFewBytesAndIsReported() throws Exception {
        try (Peer a = new Peer("a", FREQUENT_HEARTBEATS);
                Peer b = new Peer("b", FREQUENT_HEARTBEATS)) {
            b.loop.keepConnected(a.loop.listen(new HostPort("127.0.0.1", 0)));
            assertTrue(b.heartbeats.tryAcquire(FEW, 10, TimeUnit.SECONDS));
            long frames = b.loop.counters().framesIn();
            long bytes = b.loop.counters().bytesIn();
            assertTrue(b.heartbeats.tryAcquire(MANY, 10, TimeUnit.SECONDS));
            long moreFrames = b.loop.counters().framesIn() - frames;
            long moreBytes = b.loop.counters().bytesIn() - bytes;
            // The two counters are not read atomically: a heartbeat may arrive between them at the start and at the
            // end.
            assertTrue(
                    moreBytes <= BEAT_FRAME_BYTES * (moreFrames + 2),
                    moreBytes + " bytes in " + moreFrames + " frames");
        }
    }
}
