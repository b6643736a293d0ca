package org.cornelramp.wire.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.codec.FrameException;
import org.cornelramp.wire.codec.FrameWriter;
import org.cornelramp.wire.message.Message;

/** A peer that sends what bytes the test wants, and nothing by itself. */
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

    /** Reads until the other side closes; true once it has. */
    boolean isClosedByOther() throws IOException {
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
