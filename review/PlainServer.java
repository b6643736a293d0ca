package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica of a plain service: runs {@code slots} requests at once, queues some more and sheds the rest with 503 and
 * {@code X-Not-Executed}. Every request that begins to run is recorded. Thread-safe.
 */
class PlainServer implements AutoCloseable {
    final String id;
    final String service;
    final int slots;
    private final int queue;
    private final ServerSocket socket;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final ConcurrentHashMap<Socket, Boolean> connections = new ConcurrentHashMap<>();
    volatile long workMillis;
    volatile int answerBytes = 800;

    /** Ids of the requests that began to run, in order. */
    final Queue<String> ran = new ConcurrentLinkedQueue<>();

    /** A request that this server has received. */
    record Received(Http.Head head, byte[] body) {
        String requestId() {
            String id = head.field("x-attempt-id");
            return id == null ? "" : id;
        }

        String path() {
            return head.start().split(" ")[1];
        }
    }

    PlainServer(String id, String service, int slots, int queue, long workMillis) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.free = new Semaphore(slots, true);
        this.socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start(this::accept, "accept-" + id);
    }

    static void start(Runnable work, String name) {
        Thread thread = new Thread(null, work, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Its entry in the store. */
    String registration(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port()
                + "\",\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequence\":0}";
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.put(connection, true);
                start(() -> serve(connection), "serve-" + id);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                answer(connection, new Received(head, Http.readBody(in, head)), out);
            }
        } catch (IOException | InterruptedException e) {
            // the caller has closed the connection
        } finally {
            connections.remove(connection);
        }
    }

    private void answer(Socket connection, Received request, OutputStream out)
            throws IOException, InterruptedException {
        String expected = request.head().field("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, 421, "X-Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.path().equals("/health")) {
            write(out, 200, "X-Instance-Id: " + id + "\r\n" + load(), new byte[0]);
        } else if (waiting.incrementAndGet() > queue + slots || !free.tryAcquire(10, TimeUnit.SECONDS)) {
            waiting.decrementAndGet();
            write(out, 503, "X-Not-Executed: 1\r\n" + load(), new byte[0]);
        } else {
            waiting.decrementAndGet();
            running.incrementAndGet();
            try {
                run(connection, request, out);
            } finally {
                running.decrementAndGet();
                free.release();
            }
        }
    }

    /** Runs a request and answers it. */
    void run(Socket connection, Received request, OutputStream out) throws IOException, InterruptedException {
        ran.add(request.requestId());
        Thread.sleep(workMillis);
        writeSuccess(out, request, answerTo(request.requestId(), answerBytes));
    }

    void writeSuccess(OutputStream out, Received request, byte[] body) throws IOException {
        write(
                out,
                200,
                "X-Attempt-Id: " + request.requestId() + "\r\nX-Server-Seal: seal-" + id + "-" + request.requestId()
                        + "\r\n" + load(),
                body);
    }

    String load() {
        return "X-Server-Load: " + running.get() + "," + Math.max(0, waiting.get()) + "," + slots + "\r\n";
    }

    static void write(OutputStream out, int status, String fields, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    /** The body with which a request is answered. */
    static byte[] answerTo(String requestId, int bytes) {
        byte[] start = ("answer to " + requestId + " ").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[Math.max(bytes, start.length)];
        java.util.Arrays.fill(body, (byte) '.');
        System.arraycopy(start, 0, body, 0, start.length);
        return body;
    }

    /** Ends all its connections, as a crash of its process does. */
    void closeConnections() {
        List.copyOf(connections.keySet()).forEach(connection -> {
            try {
                connection.close();
            } catch (IOException e) {
                // it is closed already
            }
        });
    }

    @Override
    public void close() throws IOException {
        socket.close();
        closeConnections();
    }
}
