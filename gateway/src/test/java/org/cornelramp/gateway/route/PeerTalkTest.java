package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.peer.PeerNews;
import org.cornelramp.gateway.peer.PeerTurns;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which peers are held to be gone. */
public class PeerTalkTest {
    private static final DataCentre HERE = new DataCentre("dc1");
    private static final long HEARD = 10_000;

    /** Longer than a peer may be silent. */
    private static final long STILL_MILLIS = PeerTurns.silenceMillis(1) + 500;

    private Beliefs beliefs;
    private Repeats repeats;
    private PeerTalk talk;

    @BeforeMethod
    public void start() {
        beliefs = new Beliefs(1_200);
        repeats = new Repeats("g1", new GatewaySettings.Retries(0.2, 100, 10_000), new SplittableRandom(1));
        talk = new PeerTalk("g1", HERE, beliefs, repeats, server -> {});
    }

    private void hear(long now) {
        PeerNews.Sender peer = new PeerNews.Sender("g2", 1, HERE);
        talk.told(PeerNews.of(peer, 1, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE), now);
        talk.prepare(now);
        assertEquals(repeats.peers(), 1);
    }

    /** Guards against callers refused for want of a repeat because a late process held all its peers to be gone. */
    @Test
    public void aProcessThatStoodStillKeepsItsPeers() {
        hear(HEARD);
        long now = HEARD + STILL_MILLIS;
        beliefs.tickLate(STILL_MILLIS, now);
        talk.prepare(now);
        assertEquals(repeats.peers(), 1);
        assertTrue(talk.hasStayingPeer());
    }

    /** A peer that falls silent for a process that runs on time is gone. */
    @Test
    public void aSilentPeerIsGone() {
        hear(HEARD);
        talk.prepare(HEARD + STILL_MILLIS);
        assertEquals(repeats.peers(), 0);
        assertFalse(talk.hasStayingPeer());
    }
}
