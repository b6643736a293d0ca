package org.cornelramp.wire.link;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.cornelramp.core.settings.HostPort;
import org.testng.annotations.Test;

/**
 * An idle process told all its links the same whole heartbeat again and again: 2.8 KB a second for each link, when a
 * node may spend 4 KB a second on control in all. Now it sends the whole once and then says in a few bytes that it
 * still holds; the listener of the peer hears a heartbeat in each interval all the same.
 */
public class IdleLinkBytesTest {
    private static final LinkOptions OFTEN = LinkOptions.of(300, 1 << 16);
    private static final int SHORT_FRAME = 7;
    private static final int FEW = 4;
    private static final int MANY = 12;

    @Test
    public void anUnchangedHeartbeatCostsAFewBytesAndIsHeard() throws Exception {
        try (Peer a = new Peer("a", OFTEN);
                Peer b = new Peer("b", OFTEN)) {
            b.loop.keep(a.loop.listen(new HostPort("127.0.0.1", 0)));
            assertTrue(b.beats.tryAcquire(FEW, 10, TimeUnit.SECONDS));
            long frames = b.loop.counters().framesIn();
            long bytes = b.loop.counters().bytesIn();
            assertTrue(b.beats.tryAcquire(MANY, 10, TimeUnit.SECONDS));
            long moreFrames = b.loop.counters().framesIn() - frames;
            long moreBytes = b.loop.counters().bytesIn() - bytes;
            // The two counts are not read at one moment: a beat may fall between them at either end.
            assertTrue(moreBytes <= SHORT_FRAME * (moreFrames + 2), moreBytes + " bytes in " + moreFrames + " frames");
        }
    }
}
