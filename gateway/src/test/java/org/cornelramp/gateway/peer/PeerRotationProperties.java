package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Which peers get an update in each round, in fleets of all sizes. */
class PeerRotationProperties {

    /**
     * Guards against a cost per gateway that grows with the fleet, and against peers that get their updates too late in
     * a fleet of up to 2,000 gateways: a round sends at most eight datagrams, and each peer has its turn within half
     * the silence after which a gateway counts as dead.
     */
    @Property(seed = "20261203", tries = 200)
    void everyPeerHasItsTurnBeforeItCountsAsDead(@ForAll @IntRange(min = 1, max = 2_000) int peers) {
        PeerRotation rotation = new PeerRotation();
        List<Integer> all = IntStream.range(0, peers).boxed().toList();
        Set<Integer> reached = new HashSet<>();
        int rounds = 0;
        while (reached.size() < peers) {
            List<Integer> selected = rotation.select(all, false, false);
            assertTrue(selected.size() <= PeerRotation.MAX_PEERS_PER_ROUND);
            reached.addAll(selected);
            rounds++;
        }
        assertTrue(2L * rounds * PeerRotation.ROUND_MILLIS <= PeerRotation.silenceMillis(peers), "rounds " + rounds);
    }

    /**
     * Guards against peers that send streams to a server that has just failed: an urgent update goes to all in one
     * round.
     */
    @Property(tries = 1)
    void urgentUpdateGoesToAllPeers() {
        List<Integer> all = IntStream.range(0, 100).boxed().toList();
        assertEquals(new PeerRotation().select(all, true, false), all);
    }
}
