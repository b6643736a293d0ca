package org.cornelramp.wire.link;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.cornelramp.core.settings.HostPort;
import org.testng.annotations.Test;

/**
 * A process that has nothing new to say sends a few bytes in place of each heartbeat. Its peer's listener still hears
 * the heartbeat at each interval, and does not take the link for silent.
 */
public class SameHeartbeatTest {
    private static final int BEATS = 20;

    @Test
    public void anUnchangedHeartbeatCostsAFewBytesAndIsHeardAllTheSame() throws Exception {
        try (Peer a = new Peer("a");
                Peer b = new Peer("b")) {
            b.loop.keep(a.loop.listen(new HostPort("127.0.0.1", 0)));
            a.opened();
            assertTrue(a.beats.tryAcquire(2, 10, TimeUnit.SECONDS));
            long before = a.loop.counters().bytesIn();
            long framesBefore = a.loop.counters().framesIn();
            assertTrue(a.beats.tryAcquire(BEATS, 10, TimeUnit.SECONDS));
            long bytes = a.loop.counters().bytesIn() - before;
            long frames = a.loop.counters().framesIn() - framesBefore;
            assertTrue(bytes <= 8 * (frames + 1), bytes + " bytes in " + frames + " frames");
            assertTrue(a.loop.counters().silent() == 0);
        }
    }
}
