package org.cornelramp.wire.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.codec.FrameException;
import org.cornelramp.wire.codec.FrameWriter;
import org.cornelramp.wire.message.Message;

/** A peer that sends only the bytes that a test gives it. */
final class RawPeer implements AutoCloseable {
    private final SocketChannel channel;

    RawPeer(HostPort address) throws IOException {
        channel = SocketChannel.open(new InetSocketAddress(address.host(), address.port()));
    }

    void send(Message message) throws IOException, FrameException {
        send(new FrameWriter(1 << 16).write(message));
    }

    void send(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Reads until the other end closes the connection, then returns true. */
    boolean awaitClose() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(4_096);
        try {
            while (channel.read(buffer) >= 0) {
                buffer.clear();
            }
        } catch (IOException e) {
            return true;
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
