package org.cornelramp.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on loopback that gives each request the same answer, or none. Safe for use by any thread. */
final class SmallServer implements AutoCloseable {
    private static final byte[] ANSWER = "{}".getBytes(StandardCharsets.UTF_8);

    private final HttpServer http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
    private final AtomicInteger requests = new AtomicInteger();
    private final boolean answers;

    SmallServer(boolean answers) throws IOException {
        this.answers = answers;
        http.createContext("/", this::take);
        http.start();
    }

    int port() {
        return http.getAddress().getPort();
    }

    /** Requests so far. */
    int requests() {
        return requests.get();
    }

    private void take(HttpExchange exchange) throws IOException {
        requests.incrementAndGet();
        if (answers) {
            exchange.sendResponseHeaders(200, ANSWER.length);
            exchange.getResponseBody().write(ANSWER);
            exchange.close();
        }
    }

    @Override
    public void close() {
        http.stop(0);
    }
}
