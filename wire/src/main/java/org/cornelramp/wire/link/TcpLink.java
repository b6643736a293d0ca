package org.cornelramp.wire.link;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.codec.FrameException;
import org.cornelramp.wire.codec.FrameReader;
import org.cornelramp.wire.codec.FrameWriter;
import org.cornelramp.wire.message.Beat;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/**
 * One connection of a {@link LinkLoop}.
 *
 * <p>{@link #send}, {@link #isOpen}, {@link #peer} and {@link #close} are safe for use by any thread; everything else
 * is confined to the network thread. Invariant: the unsent frames never exceed the bound in bytes, so a peer that reads
 * slowly makes only sends on its own link fail and does not affect other links.
 */
final class TcpLink implements Link {
    private static final Beat UNCHANGED_HEARTBEAT = new Beat();

    final SocketChannel channel;
    final SilenceDetector silenceDetector;
    final FrameReader reader;

    private final LinkLoop loop;
    private final Optional<HostPort> kept;
    private final FrameWriter writer;
    private final long maxUnsentBytes;
    private final Queue<ByteBuffer> unsentFrames = new ConcurrentLinkedQueue<>();
    private final AtomicLong unsentBytes = new AtomicLong();
    private final AtomicBoolean flushRequested = new AtomicBoolean();
    private volatile Hello peer;
    private volatile String closeReason;
    private ByteBuffer partlyWritten;
    private Heartbeat lastSentHeartbeat;
    private Heartbeat lastReceivedHeartbeat;

    TcpLink(LinkLoop loop, LinkOptions options, SocketChannel channel, Optional<HostPort> kept, long now) {
        this.loop = loop;
        this.channel = channel;
        this.kept = kept;
        this.silenceDetector = new SilenceDetector(options.heartbeatMillis() * 1_000_000L, now);
        this.reader = new FrameReader(options.frameBytes());
        this.writer = new FrameWriter(options.frameBytes());
        this.maxUnsentBytes = options.maxUnsentBytes();
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public Optional<HostPort> dialledAddress() {
        return kept;
    }

    /** Sets the peer's hello, once. */
    void setPeer(Hello hello) {
        peer = hello;
    }

    boolean hasPeer() {
        return peer != null;
    }

    @Override
    public boolean send(Message message) {
        if (!isOpen()) {
            loop.counters().refusedSends.increment();
            return false;
        }
        ByteBuffer frame;
        try {
            frame = writer.write(message);
        } catch (FrameException e) {
            loop.reportUnsent(this, e);
            return false;
        }
        int size = frame.remaining();
        if (unsentBytes.addAndGet(size) > maxUnsentBytes) {
            unsentBytes.addAndGet(-size);
            loop.counters().refusedSends.increment();
            return false;
        }
        unsentFrames.add(frame);
        loop.counters().framesOut.increment();
        if (flushRequested.compareAndSet(false, true)) {
            loop.requestFlush(this);
        }
        return true;
    }

    @Override
    public boolean isOpen() {
        return closeReason == null;
    }

    @Override
    public void close(String why) {
        if (markClosed(why)) {
            loop.requestFlush(this);
        }
    }

    /** Marks the link as closed; true for the first caller. */
    synchronized boolean markClosed(String why) {
        if (closeReason != null) {
            return false;
        }
        closeReason = why;
        return true;
    }

    String closeReason() {
        return closeReason;
    }

    /** Writes unsent frames until the socket buffer is full, and then registers interest in writing. */
    void flush(SelectionKey key, long now) throws IOException {
        flushRequested.set(false);
        while (partlyWritten != null || (partlyWritten = unsentFrames.poll()) != null) {
            int written = channel.write(partlyWritten);
            if (written > 0) {
                unsentBytes.addAndGet(-written);
                loop.counters().bytesOut.add(written);
                silenceDetector.recordProgress(now);
            }
            if (partlyWritten.hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            partlyWritten = null;
        }
        silenceDetector.recordProgress(now);
        key.interestOps(SelectionKey.OP_READ);
    }

    /** Sends a heartbeat, as a {@link Beat} if it equals the last one sent on this link. */
    void sendHeartbeat(Heartbeat heartbeat) {
        if (heartbeat.equals(lastSentHeartbeat)) {
            send(UNCHANGED_HEARTBEAT);
        } else if (send(heartbeat)) {
            lastSentHeartbeat = heartbeat;
        }
    }

    /** The message to pass to the listener: a {@link Beat} is replaced by the last full heartbeat. */
    Optional<Message> expandBeat(Message message) {
        if (message instanceof Heartbeat heartbeat) {
            lastReceivedHeartbeat = heartbeat;
        }
        return Optional.ofNullable(message instanceof Beat ? lastReceivedHeartbeat : message);
    }

    /** Whether a frame is only partly written because the socket buffer was full. */
    boolean hasUnsent() {
        return partlyWritten != null;
    }

    @Override
    public String toString() {
        Hello hello = peer;
        return hello != null ? hello.process() : kept.map(HostPort::toString).orElse("unknown");
    }
}
