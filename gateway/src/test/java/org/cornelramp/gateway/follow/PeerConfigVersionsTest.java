package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** When a peer is asked for the configuration that it has in force. */
public class PeerConfigVersionsTest {
    private static final long NOW = 5_000;

    private final AtomicLong own = new AtomicLong();
    private final PeerConfigVersions versions = new PeerConfigVersions(own::get);

    /**
     * Guards against callers who wait for the store although a peer has the configuration that the starting process
     * needs.
     */
    @Test
    public void processWithoutConfigurationAsksAtOnce() {
        PeerConfigVersions started = new PeerConfigVersions(() -> PeerConfigVersions.NONE);
        started.recordVersion("10.0.0.2", 7, NOW);
        assertEquals(started.peerToAsk(NOW), Optional.of("10.0.0.2"));
        assertEquals(started.peerToAsk(NOW + 1), Optional.empty());
        assertEquals(started.peerToAsk(NOW + PeerConfigVersions.FETCH_DELAY_MILLIS), Optional.of("10.0.0.2"));
    }

    /** Guards against a process that keeps asking a dead peer while other peers have the same version. */
    @Test
    public void latestPeerWithNewestVersionIsAsked() {
        PeerConfigVersions started = new PeerConfigVersions(() -> PeerConfigVersions.NONE);
        started.recordVersion("10.0.0.2", 7, NOW);
        started.recordVersion("10.0.0.3", 7, NOW);
        started.recordVersion("10.0.0.4", 6, NOW);
        assertEquals(started.peerToAsk(NOW), Optional.of("10.0.0.3"));
    }

    /** Guards against a version that goes back, and against a fetch from peers at each ordinary change. */
    @Test
    public void processWithOlderVersionWaitsForStoreFirst() {
        own.set(6);
        versions.recordVersion("10.0.0.2", 7, NOW);
        assertEquals(versions.peerToAsk(NOW + PeerConfigVersions.FETCH_DELAY_MILLIS - 1), Optional.empty());
        assertEquals(versions.peerToAsk(NOW + PeerConfigVersions.FETCH_DELAY_MILLIS), Optional.of("10.0.0.2"));
        own.set(7);
        assertEquals(versions.peerToAsk(NOW + 9_000), Optional.empty());
    }
}
