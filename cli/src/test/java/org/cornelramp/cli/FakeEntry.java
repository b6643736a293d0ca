package org.cornelramp.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An entry that returns canned responses. Safe for use by any thread. */
final class FakeEntry implements AutoCloseable {
    static final String KEY = "secret1";

    /** Received calls, as method and path. */
    final List<String> calls = new CopyOnWriteArrayList<>();

    /** Received request bodies, in the order of the calls. */
    final List<String> bodies = new CopyOnWriteArrayList<>();

    private final Map<String, String> responses = new ConcurrentHashMap<>();
    private final HttpServer server;

    FakeEntry() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/operator/v1/", this::handle);
        server.start();
    }

    String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    /**
     * Sets the response body to a call such as {@code GET table}, with {@code $ID} for the id of the last edits. The
     * connection of any other call, or of one without the operator's key, is closed without a response.
     */
    FakeEntry respondTo(String call, String body) {
        responses.put(call, body);
        return this;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String call = exchange.getRequestMethod() + " "
                + exchange.getRequestURI().getPath().substring("/operator/v1/".length());
        bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        calls.add(call);
        String response = responses.get(call);
        if (response != null
                && ("Bearer " + KEY).equals(exchange.getRequestHeaders().getFirst("Authorization"))) {
            byte[] bytes = response.replace("$ID", lastEditId()).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    /** The id of the last edit request. */
    private String lastEditId() {
        return bodies.stream()
                .filter(body -> body.startsWith("{\"id\":\""))
                .reduce("", (first, second) -> second)
                .replaceAll("^\\{\"id\":\"([^\"]*)\".*$", "$1");
    }

    long callCount(String call) {
        return calls.stream().filter(call::equals).count();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
