package org.cornelramp.wire.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.TableRequest;
import org.testng.annotations.Test;

/**
 * Guards against misbehaving peers that affect other links: peers connect and then send no hello, fall silent, send
 * invalid bytes, or read nothing. Each loses only its own link and is counted; other links still carry messages.
 */
public class BadPeerTest {

    @Test
    public void aPeerWithoutHelloIsClosed() throws Exception {
        try (Peer a = new Peer("a", Peer.FAST_HEARTBEATS)) {
            HostPort at = a.loop.listen(new HostPort("127.0.0.1", 0));
            try (RawPeer silent = new RawPeer(at)) {
                assertTrue(silent.awaitClose());
            }
            assertEquals(a.loop.counters().unresponsive(), 1);
            assertEquals(a.loop.counters().opened(), 0);
        }
    }

    @Test
    public void aSilentPeerIsClosedAndTheListenerNotified() throws Exception {
        try (Peer a = new Peer("a", Peer.FAST_HEARTBEATS)) {
            HostPort at = a.loop.listen(new HostPort("127.0.0.1", 0));
            try (RawPeer peer = new RawPeer(at)) {
                peer.send(Peer.hello("b"));
                assertEquals(a.opened().peer().process(), "b");
                assertTrue(a.closed.tryAcquire(10, TimeUnit.SECONDS));
                assertTrue(peer.awaitClose());
            }
            assertEquals(a.loop.counters().unresponsive(), 1);
        }
    }

    @Test
    public void invalidBytesCloseOnlyTheirOwnLink() throws Exception {
        try (Peer a = new Peer("a");
                Peer b = new Peer("b")) {
            HostPort at = a.loop.listen(new HostPort("127.0.0.1", 0));
            b.loop.keepConnected(at);
            Link validLink = b.opened();
            for (ByteBuffer garbage : new ByteBuffer[] {
                ByteBuffer.allocate(64).putInt(0, Integer.MAX_VALUE),
                ByteBuffer.allocate(64).putInt(0, 1),
                ByteBuffer.allocate(64).putInt(0, 60).put(4, (byte) 9),
                ByteBuffer.allocate(64).putInt(0, 60).put(4, (byte) 1).put(5, (byte) 1)
            }) {
                try (RawPeer peer = new RawPeer(at)) {
                    peer.send(garbage);
                    assertTrue(peer.awaitClose());
                }
            }
            assertEquals(a.loop.counters().invalid(), 4);
            assertTrue(validLink.send(new TableRequest(5)));
            assertEquals(a.received(), new TableRequest(5));
        }
    }

    @Test
    public void aMessageOfALaterVersionIsSkipped() throws Exception {
        try (Peer a = new Peer("a")) {
            HostPort at = a.loop.listen(new HostPort("127.0.0.1", 0));
            try (RawPeer peer = new RawPeer(at)) {
                peer.send(Peer.hello("b"));
                peer.send(ByteBuffer.allocate(9).putInt(0, 5).put(4, (byte) 1).put(5, (byte) 120));
                peer.send(new TableRequest(6));
                assertEquals(a.received(), new TableRequest(6));
                assertEquals(a.loop.counters().skipped(), 1);
            }
        }
    }

    /**
     * The peer keeps sending heartbeats and reads nothing: the buffer fills, sends are refused, and the link is closed.
     */
    @Test
    public void sendsToAPeerThatDoesNotReadAreRefusedAndItsLinkClosed() throws Exception {
        LinkOptions small = LinkOptions.of(400, 1 << 16).withMaxUnsentBytes(100_000);
        try (Peer a = new Peer("a", small)) {
            HostPort at = a.loop.listen(new HostPort("127.0.0.1", 0));
            try (RawPeer peer = new RawPeer(at)) {
                peer.send(Peer.hello("b"));
                Link link = a.opened();
                byte[] body = new byte[60_000];
                boolean refused = false;
                while (link.isOpen()) {
                    refused |= !link.send(new org.cornelramp.wire.message.TableUpdate(1, body));
                    Heartbeat heartbeat = Peer.HEARTBEAT;
                    trySend(peer, heartbeat);
                }
                assertTrue(refused);
                assertTrue(a.closed.tryAcquire(10, TimeUnit.SECONDS));
                assertEquals(a.loop.counters().unresponsive(), 1);
            }
        }
    }

    private static void trySend(RawPeer peer, Heartbeat heartbeat) throws Exception {
        try {
            peer.send(heartbeat);
            Thread.sleep(5);
        } catch (java.io.IOException e) {
            // The link was closed, which the caller's loop detects next.
            Thread.onSpinWait();
        }
    }
}
