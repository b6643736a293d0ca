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

/** Whom a gateway tells in each round, in fleets of all sizes. */
class PeerTurnsProperties {

    /**
     * Load of a large fleet: 28 to 2,000 gateways tell one another what they have under way. Whatever the size, a round
     * costs each of them at most eight datagrams, and a peer is told well within the silence that counts as death.
     */
    @Property(seed = "20261203", tries = 200)
    void everyPeerHasItsTurnBeforeItsSilenceCounts(@ForAll @IntRange(min = 1, max = 2_000) int peers) {
        PeerTurns turns = new PeerTurns();
        List<Integer> all = IntStream.range(0, peers).boxed().toList();
        Set<Integer> told = new HashSet<>();
        int rounds = 0;
        while (told.size() < peers) {
            List<Integer> turn = turns.take(all, false, false);
            assertTrue(turn.size() <= PeerTurns.MOST_A_ROUND);
            told.addAll(turn);
            rounds++;
        }
        assertTrue(2L * rounds * PeerTurns.ROUND_MILLIS <= PeerTurns.silenceMillis(peers), "rounds " + rounds);
    }

    /** A server has just failed: all peers hear of it in this round, or they would send their streams there. */
    @Property(tries = 1)
    void whatIsUrgentGoesToEveryone() {
        List<Integer> all = IntStream.range(0, 100).boxed().toList();
        assertEquals(new PeerTurns().take(all, true, false), all);
    }
}
