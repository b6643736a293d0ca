package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.testng.annotations.Test;

/** Which peers get updates out of turn. */
public class PriorityPeersTest {
    /**
     * Guards against a wait for the regular turn: one of thirty gateways has no retry left and asks a peer whose next
     * rounds would go to others. The peer includes it in the next two rounds, because the loan may be made just after
     * the first one, and then only in its turn again.
     */
    @Test
    public void requestingPeerIsIncludedInTheNextTwoRoundsOnly() {
        PriorityPeers<String> priorityPeers = new PriorityPeers<>();
        priorityPeers.add("a");
        assertEquals(priorityPeers.nextRound(), Set.of("a"));
        priorityPeers.add("b");
        assertEquals(priorityPeers.nextRound(), Set.of("a", "b"));
        assertEquals(priorityPeers.nextRound(), Set.of("b"));
        assertEquals(priorityPeers.nextRound(), Set.of());
    }
}
