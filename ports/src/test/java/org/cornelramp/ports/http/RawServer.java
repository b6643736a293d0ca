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

/** A raw TCP server for one test, which records requests and then answers, closes the connection or stays silent. */
final class RawServer implements AutoCloseable {
    private static final String CONTENT_LENGTH = "content-length: ";

    private final ServerSocket socket;
    private final Behaviour behaviour;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();

    /** Decides how to handle a request. */
    interface Behaviour {
        /** Returns the answer; empty to close the connection, null to stay silent. */
        String answer(int connection, int request);
    }

    RawServer(Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(this::acceptAll);
    }

    static String answer(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    String url() {
        return "http://127.0.0.1:" + socket.getLocalPort();
    }

    /** Requests that were received completely. */
    List<String> requests() {
        return requests;
    }

    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket each : sockets) {
            each.close();
        }
    }

    private static void startDaemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                sockets.add(accepted);
                int connection = connections.getAndIncrement();
                startDaemonThread(() -> serve(accepted, connection));
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
                .filter(line -> line.startsWith(CONTENT_LENGTH))
                .map(line -> Integer.parseInt(line.substring(CONTENT_LENGTH.length())))
                .findFirst()
                .orElse(0);
    }
}
