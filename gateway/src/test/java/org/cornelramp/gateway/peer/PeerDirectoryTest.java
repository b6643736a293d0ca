package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Which peers get updates, and which are introduced to others. */
public class PeerDirectoryTest {

    /**
     * Guards against addresses of dead gateways that circulate forever: after a gateway has died, two others keep
     * introducing peers to each other. If each introduced what it knows only by introduction, the address would never
     * expire, and rounds would be spent on dead machines.
     */
    @Test
    public void addressOfADeadGatewayExpires() {
        PeerDirectory<String> one = new PeerDirectory<>();
        PeerDirectory<String> other = new PeerDirectory<>();
        one.addSender("dead", 0);
        for (long now = 0; now <= 4 * PeerDirectory.EXPIRY_MILLIS; now += 120) {
            long at = now;
            one.peersToIntroduce(at).forEach(peer -> other.addIntroduced(peer, at));
            other.peersToIntroduce(at).forEach(peer -> one.addIntroduced(peer, at));
        }
        long end = 4 * PeerDirectory.EXPIRY_MILLIS;
        assertEquals(one.recipients(List.of(), end), Set.of());
        assertEquals(other.recipients(List.of(), end), Set.of());
    }

    /** Listed peers, senders and introduced peers get updates; only senders are introduced. */
    @Test
    public void sendsToAllAndIntroducesSendersOnly() {
        PeerDirectory<String> directory = new PeerDirectory<>();
        directory.addSender("heard", 100);
        directory.addIntroduced("introduced", 100);
        assertEquals(directory.recipients(List.of("listed"), 200), Set.of("listed", "heard", "introduced"));
        assertEquals(directory.peersToIntroduce(200), Set.of("heard"));
    }
}
