package org.cornelramp.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on loopback that gives each request the same answer, or none. Safe for use by any thread. */
final class SmallServer implements AutoCloseable {
    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

    private final ServerSocket socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private final boolean answers;

    private interface Work {
        void run() throws IOException;
    }

    SmallServer(boolean answers) throws IOException {
        this.answers = answers;
        daemon(this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Requests so far. */
    int requests() {
        return requests.get();
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            daemon(() -> converse(connection));
        }
    }

    private void converse(Socket connection) throws IOException {
        byte[] buffer = new byte[4_096];
        while (connection.getInputStream().read(buffer) > 0) {
            requests.incrementAndGet();
            if (answers) {
                connection.getOutputStream().write(ANSWER.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                return; // the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
