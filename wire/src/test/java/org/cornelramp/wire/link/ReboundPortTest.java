package org.cornelramp.wire.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import org.cornelramp.core.settings.HostPort;
import org.testng.annotations.Test;

/**
 * Guards against a listening socket that stays open after the links are closed: another process that starts at the same
 * address could not bind the port.
 */
public class ReboundPortTest {

    @Test
    public void aPortCanBeListenedOnAgainAfterTheLinksAreClosed() throws Exception {
        HostPort at;
        try (Peer first = new Peer("first")) {
            at = first.loop.listen(new HostPort("127.0.0.1", 0));
            try (Peer caller = new Peer("caller")) {
                caller.loop.keepConnected(at);
                assertNotNull(caller.opened());
            }
        }
        try (Peer second = new Peer("second");
                Peer caller = new Peer("caller")) {
            assertEquals(second.loop.listen(at), at);
            caller.loop.keepConnected(at);
            assertEquals(caller.opened().peer().process(), "second");
        }
    }
}
