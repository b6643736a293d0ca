package org.cornelramp.ports.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server for one test that sees every byte: it answers, closes or keeps silent as the test says. */
final class RawServer implements AutoCloseable {
    private static final String LENGTH = "content-length: ";

    private final ServerSocket socket;
    private final Behaviour behaviour;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();

    /** What to do with a request. */
    interface Behaviour {
        /** Gives the answer; empty to close the connection, null to keep silent. */
        String answer(int connection, int request);
    }

    RawServer(Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::acceptAll);
    }

    static String answer(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    String url() {
        return "http://127.0.0.1:" + socket.getLocalPort();
    }

    /** Requests that have come in whole. */
    List<String> requests() {
        return requests;
    }

    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket each : open) {
            each.close();
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                open.add(accepted);
                int connection = connections.getAndIncrement();
                daemon(() -> serve(accepted, connection));
            }
        } catch (IOException e) {
            requests.add("closed");
        }
    }

    private void serve(Socket accepted, int connection) {
        try (accepted) {
            for (int i = 0; ; i++) {
                String request = read(accepted.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                requests.add(request);
                String answer = behaviour.answer(connection, i);
                if (answer == null) {
                    accepted.getInputStream().transferTo(new ByteArrayOutputStream());
                    return;
                }
                if (answer.isEmpty()) {
                    return;
                }
                accepted.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            System.getLogger("test").log(System.Logger.Level.DEBUG, "test: a connection ended", e);
        }
    }

    private static String read(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int headEnd = -1;
        int length = 0;
        while (headEnd < 0 || text.length() < headEnd + length) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            text.append((char) next);
            if (headEnd < 0 && text.toString().endsWith("\r\n\r\n")) {
                headEnd = text.length();
                length = contentLength(text.toString());
            }
        }
        return text.toString();
    }

    private static int contentLength(String head) {
        return head.toLowerCase(java.util.Locale.ROOT)
                .lines()
                .filter(line -> line.startsWith(LENGTH))
                .map(line -> Integer.parseInt(line.substring(LENGTH.length())))
                .findFirst()
                .orElse(0);
    }
}
