package org.cornelramp.wire.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.message.TableRequest;
import org.testng.annotations.Test;

/** Two processes connect, exchange messages in both directions, and reconnect after the link is lost. */
public class LinkLoopTest {

    @Test
    public void exchangesMessagesBothWaysAndReconnects() throws Exception {
        try (Peer a = new Peer("a");
                Peer b = new Peer("b")) {
            HostPort at = a.loop.listen(new HostPort("127.0.0.1", 0));
            b.loop.keepConnected(at);
            Link toA = b.opened();
            Link toB = a.opened();
            assertEquals(toA.peer().process(), "a");
            assertTrue(toA.send(new TableRequest(7)));
            assertEquals(a.received(), new TableRequest(7));
            assertTrue(toB.send(new TableRequest(8)));
            assertEquals(b.received(), new TableRequest(8));

            toB.close("test");
            assertTrue(b.closed.tryAcquire(10, TimeUnit.SECONDS));
            assertFalse(toA.isOpen());
            assertFalse(toA.send(new TableRequest(9)));
            Link again = b.opened();
            assertTrue(again.send(new TableRequest(10)));
            assertEquals(a.received(), new TableRequest(10));
        }
    }
}
