package org.cornelramp.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelramp.platform.standin.EngineFixtures;
import org.cornelramp.platform.standin.HeaderFixtures;

/**
 * A server on loopback whose responses never end: it sends until the caller closes the connection. Safe for use by any
 * thread.
 */
final class EndlessServer implements AutoCloseable {
    private static final int BACKLOG = 100;
    private static final int BLOCK_BYTES = 16_384;
    private static final long SLOW_PAUSE_MILLIS = 20;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = "%sTransfer-Encoding: chunked\r\n\r\n";

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Fault fault;
    private final boolean slow;
    private final String engineId;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong mostBytes = new AtomicLong();

    /** The part of a response that has no end. Immutable. */
    enum Fault {
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        HEADER_LINE(OK + "X-Long: ", "x"),
        HEADERS(OK, "X-More: x\r\n"),
        INFORMATIONAL("", "HTTP/1.1 103 Early Hints\r\nX-More: x\r\n\r\n"),
        CHUNK_HEADER(OK + CHUNKED, "0"),
        CHUNK_EXTENSION(OK + CHUNKED + "5;", "x"),
        TRAILER(OK + CHUNKED + "0\r\n", "X-More: x\r\n"),
        BEYOND_LENGTH(OK + "%sContent-Length: 15\r\n\r\nid: 0\ndata: x\n\n", "id: 1\ndata: BEYOND\n\n"),
        BODY(OK + CHUNKED, "10\r\nxxxxxxxxxxxxxxxx\r\n"),
        EVENT(OK + CHUNKED + "6\r\ndata: \r\n", "10\r\nxxxxxxxxxxxxxxxx\r\n"),
        EVENTS_WITHOUT_ID(OK + CHUNKED, "9\r\ndata: x\n\n\r\n");

        private final String start;
        private final String filler;

        Fault(String start, String filler) {
            this.start = start;
            this.filler = filler;
        }
    }

    /** @param engineId id of the engine whose control requests are answered well; empty to answer none of them well */
    EndlessServer(Fault fault, boolean slow, String engineId) throws IOException {
        this.fault = fault;
        this.slow = slow;
        this.engineId = engineId;
        startThread(this::acceptConnections);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Number of requests that got an endless response. */
    int requests() {
        return requests.get();
    }

    /** Number of endless responses whose connection the caller has not closed. */
    int open() {
        return open.get();
    }

    /** Bytes of the longest response so far, with those that the caller has not read. */
    long mostBytes() {
        return mostBytes.get();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket connection = listener.accept();
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // closed, which ends this thread
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                String path = ScriptedEngine.readLine(in).split(" ", -1)[1];
                String id = readRequest(in);
                if (!engineId.isEmpty() && path.startsWith("/cornelramp/")) {
                    connection
                            .getOutputStream()
                            .write(EngineFixtures.controlResponse(path, engineId)
                                    .getBytes(StandardCharsets.US_ASCII));
                } else {
                    respond(connection.getOutputStream(), id);
                }
            }
        } catch (IOException | InterruptedException e) {
            // closed by the caller, which ends this thread
        }
    }

    /** Reads the rest of a request; returns the headers that a signed response to it has. */
    static String readRequest(InputStream in) throws IOException {
        StringBuilder signed = new StringBuilder();
        int length = 0;
        for (String line = ScriptedEngine.readLine(in); !line.isEmpty(); line = ScriptedEngine.readLine(in)) {
            String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
            String value = line.substring(line.indexOf(':') + 1).trim();
            length = name.equals("content-length") ? Integer.parseInt(value) : length;
            String id = HeaderFixtures.requestId(wanted -> wanted.equalsIgnoreCase(name) ? value : null);
            if (id != null) {
                HeaderFixtures.answer(id)
                        .forEach(field -> signed.append(field.getName() + ": " + field.getValue() + "\r\n"));
            }
        }
        in.readNBytes(length);
        return signed.toString();
    }

    private void respond(OutputStream out, String signed) throws IOException, InterruptedException {
        open.incrementAndGet();
        requests.incrementAndGet();
        try {
            byte[] start = String.format(fault.start, signed).getBytes(StandardCharsets.US_ASCII);
            out.write(start);
            byte[] filler = fault.filler
                    .repeat(slow ? 1 : BLOCK_BYTES / fault.filler.length())
                    .getBytes(StandardCharsets.US_ASCII);
            long sent = start.length;
            while (true) {
                sent += slow ? writeSlowly(out, filler) : writeAtOnce(out, filler);
                mostBytes.accumulateAndGet(sent, Math::max);
            }
        } finally {
            open.decrementAndGet();
        }
    }

    private static int writeAtOnce(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        return bytes.length;
    }

    private static int writeSlowly(OutputStream out, byte[] bytes) throws IOException, InterruptedException {
        for (byte each : bytes) {
            out.write(each);
            Thread.sleep(SLOW_PAUSE_MILLIS);
        }
        return bytes.length;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
