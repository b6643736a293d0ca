package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** When a peer is asked for the configuration that it has in force. */
public class PeerVersionsTest {
    private static final long NOW = 5_000;

    private final AtomicLong own = new AtomicLong();
    private final PeerVersions versions = new PeerVersions(own::get);

    /** Guards against callers who wait for the store although a peer could tell the process that has just started. */
    @Test
    public void whoHasNoneAsksAtOnce() {
        PeerVersions started = new PeerVersions(() -> PeerVersions.NONE);
        started.heard("10.0.0.2", 7, NOW);
        assertEquals(started.toAsk(NOW), Optional.of("10.0.0.2"));
        assertEquals(started.toAsk(NOW + 1), Optional.empty());
        assertEquals(started.toAsk(NOW + PeerVersions.AHEAD_MILLIS), Optional.of("10.0.0.2"));
    }

    /** Guards against a process that asks a peer which has died again and again, while others have the version too. */
    @Test
    public void theLastPeerThatToldOfTheVersionIsAsked() {
        PeerVersions started = new PeerVersions(() -> PeerVersions.NONE);
        started.heard("10.0.0.2", 7, NOW);
        started.heard("10.0.0.3", 7, NOW);
        started.heard("10.0.0.4", 6, NOW);
        assertEquals(started.toAsk(NOW), Optional.of("10.0.0.3"));
    }

    /** Guards against a version that slips back, and against a fetch from peers at each ordinary change. */
    @Test
    public void whoHasAnOlderOneWaitsForTheStoreFirst() {
        own.set(6);
        versions.heard("10.0.0.2", 7, NOW);
        assertEquals(versions.toAsk(NOW + PeerVersions.AHEAD_MILLIS - 1), Optional.empty());
        assertEquals(versions.toAsk(NOW + PeerVersions.AHEAD_MILLIS), Optional.of("10.0.0.2"));
        own.set(7);
        assertEquals(versions.toAsk(NOW + 9_000), Optional.empty());
    }
}
