package org.cornelramp.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A server whose accept queue is full, so that connects to it time out. Confined to one thread. */
final class FullBacklogServer implements AutoCloseable {
    /** More connections than an accept queue of length one holds. */
    private static final int PENDING_CONNECTS = 8;

    private final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<SocketChannel> pending = new ArrayList<>();

    FullBacklogServer() throws IOException {
        for (int i = 0; i < PENDING_CONNECTS; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(socket.getLocalSocketAddress());
            pending.add(channel);
        }
    }

    int port() {
        return socket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : pending) {
            channel.close();
        }
        socket.close();
    }
}
