package org.cornelramp.standins.http;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Serves one stand-in over HTTP on the loopback interface, with endpoints for its fault switches and its trace.
 *
 * <p>Safe for use by any thread. Invariant: {@code /faults} and {@code /trace} respond whichever switches are set.
 */
public final class StandInServer {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 4;
    private static final long STALL_POLL_MILLIS = 20;
    private static final long IDLE_MILLIS = 120_000;
    private static final int BAD_REQUEST = 400;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int CRASH_STATUS = 137;

    private final StandIn standIn;
    private final Faults faults;
    private final Trace trace;
    private final Timer timer;
    private final OpenConnections connections = new OpenConnections();
    private final Server server;
    private final ServerConnector connector;

    public StandInServer(StandIn standIn, Faults faults, Trace trace, Timer timer, int port) {
        this.standIn = standIn;
        this.faults = faults;
        this.trace = trace;
        this.timer = timer;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(standIn.kind());
        this.server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(HOST);
        connector.setPort(port);
        connector.setIdleTimeout(IDLE_MILLIS);
        connector.addBean(connections);
        server.addConnector(connector);
        server.setHandler(new RequestHandler());
    }

    /** Starts serving and returns the port. */
    public int start() throws Exception {
        server.start();
        return connector.getLocalPort();
    }

    /** Stops the server, the stand-in and the timer. */
    public void stop() throws Exception {
        server.stop();
        standIn.stop();
        timer.stop();
    }

    /** Waits until the server has stopped. */
    public void join() throws InterruptedException {
        server.join();
    }

    private CompletableFuture<Reply> dispatch(Call call, Connection connection) {
        if (call.path().equals("/faults")) {
            return CompletableFuture.completedFuture(setFaults(call));
        }
        if (call.matches("GET", "/trace")) {
            return CompletableFuture.completedFuture(Reply.ok(trace.eventsFrom(call.longParameter("from", 0))));
        }
        if (connections.isSilent(connection)) {
            return new CompletableFuture<>();
        }
        crashIfRequested(call);
        if (faults.isOn("refuse") || faults.isOn("outage")) {
            return CompletableFuture.completedFuture(
                    Reply.error(UNAVAILABLE, "Rejected by the fault switch refuse or outage; unset it to accept calls")
                            .withRetryAfter(1));
        }
        return handleAfterDelay(call);
    }

    private CompletableFuture<Reply> handleAfterDelay(Call call) {
        long millis = faults.isOn("stall") ? STALL_POLL_MILLIS : (long) faults.number("stall-millis", 0);
        if (millis <= 0) {
            return standIn.handle(call);
        }
        CompletableFuture<Reply> future = new CompletableFuture<>();
        timer.runAfter(millis, () -> handleUnlessStalled(call, future));
        return future;
    }

    private void handleUnlessStalled(Call call, CompletableFuture<Reply> future) {
        if (faults.isOn("stall")) {
            timer.runAfter(STALL_POLL_MILLIS, () -> handleUnlessStalled(call, future));
            return;
        }
        try {
            CompletableFuture<Reply> unused = standIn.handle(call).whenComplete((reply, failure) -> {
                if (failure == null) {
                    future.complete(reply);
                } else {
                    future.completeExceptionally(failure);
                }
            });
        } catch (RuntimeException e) {
            future.completeExceptionally(e);
        }
    }

    private Reply setFaults(Call call) {
        if (!call.method().equals("GET")) {
            Map<String, String> changes = new HashMap<>();
            call.json()
                    .properties()
                    .forEach(entry ->
                            changes.put(entry.getKey(), entry.getValue().asText()));
            if (Boolean.parseBoolean(changes.remove("go-silent"))) {
                connections.silenceAll();
            }
            faults.set(changes);
            standIn.faultsChanged();
        }
        return Reply.ok(faults.all());
    }

    /** Simulates a request that crashes the process that handles it: halts before any response. */
    private void crashIfRequested(Call call) {
        String text = faults.text("crash-on");
        if (!text.isEmpty() && standIn.crashesOn(call, text)) {
            Runtime.getRuntime().halt(CRASH_STATUS);
        }
    }

    private final class RequestHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Promise.Completable<ByteBuffer> read = new Promise.Completable<>();
            Content.Source.asByteBuffer(request, read);
            CompletableFuture<Void> unused = read.thenApply(BufferUtil::toArray)
                    .thenCompose(body -> dispatch(
                            toCall(request, body),
                            request.getConnectionMetaData().getConnection()))
                    .exceptionally(RequestHandler::toError)
                    .thenAccept(reply -> write(request, response, callback, reply));
            return true;
        }

        private static Reply toError(Throwable failure) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            int status = cause instanceof IllegalArgumentException ? BAD_REQUEST : SERVER_ERROR;
            return Reply.error(status, String.valueOf(cause));
        }

        private void write(Request request, Response response, Callback callback, Reply reply) {
            Connection connection = request.getConnectionMetaData().getConnection();
            String path = Request.getPathInContext(request);
            boolean control = path.equals("/faults") || path.equals("/trace");
            if (!control && connections.isSilent(connection)) {
                return;
            }
            if (!control && faults.decrementIfPositive("lose-answers")) {
                connection.getEndPoint().close();
                callback.succeeded();
                return;
            }
            response.setStatus(reply.status());
            reply.headers().forEach(response.getHeaders()::put);
            if (reply.body().length > 0) {
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            }
            response.write(true, ByteBuffer.wrap(reply.body()), callback);
        }

        private static Call toCall(Request request, byte[] body) {
            Map<String, String> query = new HashMap<>();
            for (Fields.Field field : Request.extractQueryParameters(request)) {
                query.put(field.getName(), field.getValue());
            }
            Map<String, String> headers = new HashMap<>();
            HttpFields fields = request.getHeaders();
            fields.forEach(field -> headers.put(field.getName().toLowerCase(Locale.ROOT), field.getValue()));
            return new Call(request.getMethod(), Request.getPathInContext(request), query, headers, body);
        }
    }
}
