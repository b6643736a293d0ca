package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which peers count as gone. */
public class PeerUpdateHandlerTest {
    private static final DataCentre HERE = new DataCentre("dc1");
    private static final long RECEIVED_MILLIS = 10_000;

    /** Longer than a peer may be silent. */
    private static final long SILENCE_MILLIS = PeerRotation.silenceMillis(1) + 500;

    private FleetState fleet;
    private SharedRetries sharedRetries;
    private PeerUpdateHandler peerUpdateHandler;

    @BeforeMethod
    public void start() {
        fleet = new FleetState("g1", 1_200);
        sharedRetries = new SharedRetries("g1", new GatewaySettings.Retries(0.2, 100, 10_000), new SplittableRandom(1));
        EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g1");
        CrashObserver observer = new CrashObserver(
                fleet,
                null,
                new LifeQuestions(fleet, new ConfigHolder(), null, event -> {}),
                log,
                new Meters(),
                event -> {});
        PoisonGuard poisonGuard = new PoisonGuard(List.of(), observer, log, new Meters());
        peerUpdateHandler = new PeerUpdateHandler(
                "g1",
                HERE,
                fleet,
                sharedRetries,
                poisonGuard,
                new DemandReporter(HERE, fleet, List.of(), log),
                (server, at) -> {});
    }

    private void receiveUpdate(long now) {
        PeerUpdate.Sender peer = new PeerUpdate.Sender("g2", 1, HERE);
        peerUpdateHandler.handleUpdate(
                PeerUpdate.of(peer, 1, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE), now);
        peerUpdateHandler.refreshUpdate(now);
        assertEquals(sharedRetries.peers(), 1);
    }

    /** Guards against callers refused for want of a retry because a late process considered all its peers gone. */
    @Test
    public void stalledProcessKeepsItsPeers() {
        receiveUpdate(RECEIVED_MILLIS);
        long now = RECEIVED_MILLIS + SILENCE_MILLIS;
        fleet.recordTickDelay(SILENCE_MILLIS, now);
        peerUpdateHandler.refreshUpdate(now);
        assertEquals(sharedRetries.peers(), 1);
        assertTrue(peerUpdateHandler.hasStayingPeer());
    }

    /** A peer whose updates stop counts as gone if this process runs on time. */
    @Test
    public void silentPeerIsGone() {
        receiveUpdate(RECEIVED_MILLIS);
        peerUpdateHandler.refreshUpdate(RECEIVED_MILLIS + SILENCE_MILLIS);
        assertEquals(sharedRetries.peers(), 0);
        assertFalse(peerUpdateHandler.hasStayingPeer());
    }
}
