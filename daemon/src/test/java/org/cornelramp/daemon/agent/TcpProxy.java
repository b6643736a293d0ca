package org.cornelramp.daemon.agent;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.core.settings.HostPort;

/** A TCP proxy whose connections the test can cut. Safe for use by any thread. */
final class TcpProxy implements AutoCloseable {
    private static final int BUFFER = 8_192;

    private final ServerSocket server;
    private final HostPort target;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();

    TcpProxy(HostPort target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    /** The number of connections accepted so far. */
    int accepted() {
        return accepted.get();
    }

    /** Resets all connections, which loses data in flight; new connections are still forwarded. */
    void cut() throws IOException {
        for (Socket socket : sockets) {
            cut(socket);
        }
        sockets.clear();
    }

    private static void cut(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            // The socket was already closed because its other end was cut.
            Thread.onSpinWait();
        }
        socket.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket clientSocket = server.accept();
                Socket targetSocket = new Socket(target.host(), target.port());
                accepted.incrementAndGet();
                sockets.add(clientSocket);
                sockets.add(targetSocket);
                start(() -> pipe(clientSocket, targetSocket));
                start(() -> pipe(targetSocket, clientSocket));
            }
        } catch (IOException e) {
            // The proxy was closed.
            Thread.onSpinWait();
        }
    }

    private static void pipe(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One end was cut, so the streams of the other end are closed as well.
            Thread.onSpinWait();
        }
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "tcp-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }
}
