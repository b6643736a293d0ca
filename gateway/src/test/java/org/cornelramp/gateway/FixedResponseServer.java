package org.cornelramp.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP server on loopback that sends each request the same response, or none, and keeps connections open. Requests
 * have no body. Each response is one write. Safe for use by any thread.
 */
final class FixedResponseServer implements AutoCloseable {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);

    private static final int BACKLOG = 10;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new ArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger responses = new AtomicInteger();
    private final boolean responds;
    private final Thread acceptor;

    FixedResponseServer(boolean responds) throws IOException {
        this.responds = responds;
        this.acceptor = startThread(this::acceptConnections);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Number of connections accepted; each of them is established at the client too. */
    int accepted() {
        return accepted.get();
    }

    /** Number of requests received. */
    int requests() {
        return requests.get();
    }

    /** Number of responses that have been written completely. */
    int responses() {
        return responses.get();
    }

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(task, "fixed-response-server");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket connection = listener.accept();
                keep(connection);
                accepted.incrementAndGet();
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // the listener was closed, which ends this thread
        }
    }

    private synchronized void keep(Socket connection) {
        connections.add(connection);
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.isEmpty()) {
                    respond(connection);
                }
            }
        } catch (IOException e) {
            // closed by the client or by close(), which ends this thread
        }
    }

    private void respond(Socket connection) throws IOException {
        requests.incrementAndGet();
        if (responds) {
            connection.getOutputStream().write(RESPONSE);
            responses.incrementAndGet();
        }
    }

    /** Ends all connections; the port refuses connects when this returns. */
    @Override
    public void close() throws IOException, InterruptedException {
        listener.close();
        acceptor.join(); // the kernel keeps the port open until the thread has left its accept call
        closeConnections();
    }

    private synchronized void closeConnections() throws IOException {
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
