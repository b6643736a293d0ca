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
 * <p>{@link #send}, {@link #isOpen}, {@link #peer} and {@link #close} are safe for use by any thread; all else is
 * confined to the network thread. Invariant: the frames that wait never hold more than the bound in bytes, so a
 * peer that reads slowly costs its own sender a refusal, and no other link anything.
 */
final class TcpLink implements Link {
    private static final Beat SAME = new Beat();

    final SocketChannel channel;
    final SilenceDetector silence;
    final FrameReader reader;

    private final LinkLoop loop;
    private final Optional<HostPort> kept;
    private final FrameWriter writer;
    private final long outBytes;
    private final Queue<ByteBuffer> out = new ConcurrentLinkedQueue<>();
    private final AtomicLong waiting = new AtomicLong();
    private final AtomicBoolean flushAsked = new AtomicBoolean();
    private volatile Hello peer;
    private volatile String closeReason;
    private ByteBuffer writing;
    private Heartbeat said;
    private Heartbeat heard;

    TcpLink(LinkLoop loop, LinkOptions options, SocketChannel channel, Optional<HostPort> kept, long now) {
        this.loop = loop;
        this.channel = channel;
        this.kept = kept;
        this.silence = new SilenceDetector(options.heartbeatMillis() * 1_000_000L, now);
        this.reader = new FrameReader(options.frameBytes());
        this.writer = new FrameWriter(options.frameBytes());
        this.outBytes = options.outBytes();
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public Optional<HostPort> kept() {
        return kept;
    }

    /** Sets who the peer is, once. */
    void introduce(Hello hello) {
        peer = hello;
    }

    boolean isIntroduced() {
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
        if (waiting.addAndGet(size) > outBytes) {
            waiting.addAndGet(-size);
            loop.counters().refusedSends.increment();
            return false;
        }
        out.add(frame);
        loop.counters().framesOut.increment();
        if (flushAsked.compareAndSet(false, true)) {
            loop.askFlush(this);
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
            loop.askFlush(this);
        }
    }

    /** Takes the link out of use; true for the first caller. */
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

    /** Writes what waits, as far as the socket takes it, and asks to be told when it takes more. */
    void flush(SelectionKey key, long now) throws IOException {
        flushAsked.set(false);
        while (writing != null || (writing = out.poll()) != null) {
            int written = channel.write(writing);
            if (written > 0) {
                waiting.addAndGet(-written);
                loop.counters().bytesOut.add(written);
                silence.progressed(now);
            }
            if (writing.hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            writing = null;
        }
        silence.progressed(now);
        key.interestOps(SelectionKey.OP_READ);
    }

    /** Sends a heartbeat, in short if nothing in it has changed since the last one on this link. */
    void beat(Heartbeat beat) {
        if (beat.equals(said)) {
            send(SAME);
        } else if (send(beat)) {
            said = beat;
        }
    }

    /** What a message means to the listener: a short heartbeat stands for the last whole one. */
    Optional<Message> expand(Message message) {
        if (message instanceof Heartbeat beat) {
            heard = beat;
        }
        return Optional.ofNullable(message instanceof Beat ? heard : message);
    }

    /** Whether bytes wait that the socket has not taken. */
    boolean hasUnsent() {
        return writing != null;
    }

    @Override
    public String toString() {
        Hello hello = peer;
        return hello != null ? hello.process() : kept.map(HostPort::toString).orElse("unknown");
    }
}
