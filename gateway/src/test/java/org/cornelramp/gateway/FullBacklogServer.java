package org.cornelramp.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A server whose accept queue is full, so that connects to it are not answered. Owned by one thread. */
final class FullServer implements AutoCloseable {
    /** More connections than a queue of one takes. */
    private static final int WAITING = 8;

    private final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<SocketChannel> waiting = new ArrayList<>();

    FullServer() throws IOException {
        for (int i = 0; i < WAITING; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(socket.getLocalSocketAddress());
            waiting.add(channel);
        }
    }

    int port() {
        return socket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : waiting) {
            channel.close();
        }
        socket.close();
    }
}
