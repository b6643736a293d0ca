package org.cornelramp.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.gateway.Fakes;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A client with one request and without a socket: records what it receives, and lets a test decide when its writes end
 * and whether it has left. Used by one thread.
 */
public final class FakeClient {
    private final Exchange exchange;
    private final HttpFields.Mutable answered = HttpFields.build();
    private final StringBuilder received = new StringBuilder();
    private Callback pendingWrite;
    private Runnable beforeRead = () -> {};
    private boolean slow;
    private boolean overlapping;
    private boolean gone;
    private boolean complete;
    private Throwable failure;
    private int status;

    /** @param nowMillis when the request was received */
    public FakeClient(Route route, String id, long nowMillis) {
        this(RequestFixtures.on(route, id, nowMillis));
    }

    /**
     * A client of a request with this path and body.
     *
     * @param nowMillis when the request was received
     */
    public FakeClient(Route route, String id, String path, byte[] body, long nowMillis) {
        this(RequestFixtures.on(route, id, path, body, nowMillis));
    }

    /**
     * A client of a request with these headers, path and body.
     *
     * @param nowMillis when the request was received
     */
    public FakeClient(Route route, HttpFields fields, String path, byte[] body, long nowMillis) {
        this(RequestFixtures.on(route, fields, path, body, nowMillis));
    }

    /**
     * A client of a request with these headers, path and body, whose key an organisation holds.
     *
     * @param nowMillis when the request was received
     */
    public FakeClient(
            Route route,
            Optional<RoutingConfig.Organisation> keyHolder,
            HttpFields fields,
            String path,
            byte[] body,
            long nowMillis) {
        this(RequestFixtures.on(route, keyHolder, fields, path, body, nowMillis));
    }

    /**
     * A client that resumes a stream by itself.
     *
     * @param lastEventId the last event that it has
     * @param nowMillis when the request was received
     */
    public static FakeClient resuming(Route route, String id, long lastEventId, long nowMillis) {
        return new FakeClient(RequestFixtures.resumption(route, id, lastEventId, nowMillis));
    }

    private FakeClient(Exchange.ClientRequest request) {
        this.exchange =
                new Exchange(request, response(), Callback.from(this::finish, this::close), () -> false, probe());
    }

    /** The exchange of the request. */
    public Exchange exchange() {
        return exchange;
    }

    /** The body received so far. */
    public String received() {
        return received.toString();
    }

    /** The status received; 0 before the head. */
    public int status() {
        return status;
    }

    /** Value of a header of the response; null if it is absent. */
    public String header(String name) {
        return answered.get(name);
    }

    /** Whether the whole response was received. */
    public boolean isComplete() {
        return complete;
    }

    /** Whether the gateway has closed the connection before the end of the response. */
    public boolean isClosed() {
        return failure != null;
    }

    /** Whether the client has left. */
    public boolean isGone() {
        return gone;
    }

    /** Whether a write has begun during another one. */
    public boolean hasOverlappingWrites() {
        return overlapping;
    }

    /** Closes the connection from the client's side. */
    public void leave() {
        gone = true;
        endWrite();
    }

    /** Sets what happens before each read that looks for the close of the connection. */
    public void setBeforeRead(Runnable action) {
        beforeRead = action;
    }

    /** Lets writes wait from now on, until {@link #accept}. */
    public void stall() {
        slow = true;
    }

    /** Accepts the pending write and all further ones. */
    public void accept() {
        slow = false;
        endWrite();
    }

    private void endWrite() {
        Callback write = pendingWrite;
        pendingWrite = null;
        if (write != null) {
            end(write);
        }
    }

    private void end(Callback write) {
        if (gone) {
            write.failed(new IOException("Broken pipe"));
        } else {
            write.succeeded();
        }
    }

    private void write(boolean last, ByteBuffer bytes, Callback callback) {
        if (pendingWrite != null) {
            overlapping = true;
            callback.failed(new IllegalStateException("A write is pending already."));
            return;
        }
        if (!gone) {
            received.append(StandardCharsets.UTF_8.decode(bytes));
            complete |= last;
        }
        if (slow && !gone) {
            pendingWrite = callback;
        } else {
            end(callback);
        }
    }

    private void finish() {
        // the last write has ended
    }

    private void close(Throwable cause) {
        failure = cause;
    }

    private Response response() {
        return Fakes.of(Response.class, (name, args) -> switch (name) {
            case "write" -> {
                write((Boolean) args[0], (ByteBuffer) args[1], (Callback) args[2]);
                yield null;
            }
            case "setStatus" -> {
                status = (Integer) args[0];
                yield null;
            }
            case "getHeaders" -> answered;
            default -> null;
        });
    }

    private int read() {
        beforeRead.run();
        return gone ? -1 : 0;
    }

    private ClientDisconnectProbe probe() {
        return RequestFixtures.probe(Fakes.of(EndPoint.class, (name, args) -> name.equals("fill") ? read() : null));
    }
}
