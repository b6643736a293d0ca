package org.cornelramp.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.poison.Fingerprint;
import org.cornelramp.core.poison.PromptParts;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.platform.RequestHead;
import org.cornelramp.platform.ResponseHead;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * One client's request together with the response to the client.
 *
 * <p>Safe for use by any thread: the fields that are not final are written by one attempt at a time, and the request by
 * the router between attempts. Invariant: the client gets one response; the first call that ends the exchange determines
 * it, and later calls have no effect.
 */
public final class Exchange {
    private static final System.Logger LOG = System.getLogger(Exchange.class.getName());

    /** Part of the retry time that is added at most, at random. */
    public static final double RETRY_JITTER = 0.5;

    private volatile ClientRequest request;
    private final Response response;
    private final Callback callback;
    private final BooleanSupplier closing;
    private final ClientDisconnectProbe probe;
    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
    private volatile boolean committed;
    private volatile EventIds forwarded;
    private volatile long lastEventMillis;
    private volatile long firstEventMillis;
    private volatile long longestPauseMillis;
    private volatile int writes;

    private enum State {
        /** Nothing of the response has been sent. */
        OPEN,
        /** Events are sent. */
        STREAMING,
        ENDED
    }

    /**
     * The client's request. Immutable, safe for use by any thread.
     *
     * @param head the decoded head
     * @param method HTTP method
     * @param pathQuery path and query as received
     * @param fields headers as received
     * @param body the whole body
     * @param route the matching route
     * @param organisation the organisation of the caller's key
     * @param priority rank; 0 is the most urgent
     * @param receivedMillis when the request was received, on the steady clock
     * @param deadlineMillis when the final response is due, on the steady clock
     */
    public record ClientRequest(
            RequestHead head,
            String method,
            String pathQuery,
            HttpFields fields,
            byte[] body,
            Route route,
            Optional<OrganisationId> organisation,
            int priority,
            long receivedMillis,
            long deadlineMillis) {
        /** Number of priorities, 0 to 9. */
        private static final int PRIORITIES = 10;

        /**
         * A request on a route.
         *
         * @param nowMillis when it was received
         */
        static ClientRequest of(
                RequestHead head,
                String method,
                String pathQuery,
                HttpFields fields,
                byte[] body,
                Route route,
                Optional<RoutingConfig.Organisation> organisation,
                long nowMillis) {
            return new ClientRequest(
                    head,
                    method,
                    pathQuery,
                    fields,
                    body,
                    route,
                    organisation.map(RoutingConfig.Organisation::id),
                    priority(route, organisation),
                    nowMillis,
                    nowMillis + timeoutMillis(head, route));
        }

        /**
         * The same request under another configuration: its route, rank and deadline. The organisation that is charged
         * for it stays the one at its arrival.
         *
         * @param keyHolder the organisation that now holds the caller's key
         */
        public ClientRequest withConfiguration(Route changed, Optional<RoutingConfig.Organisation> keyHolder) {
            return new ClientRequest(
                    head,
                    method,
                    pathQuery,
                    fields,
                    body,
                    changed,
                    organisation,
                    priority(changed, keyHolder),
                    receivedMillis,
                    receivedMillis + timeoutMillis(head, changed));
        }

        /** The service of the route that runs the request: by weight, and the same for all attempts with its id. */
        public ServiceName service() {
            double draw = (id().hashCode() & 0x7fffffff) / (double) (1L << 31);
            return route.service(draw);
        }

        /** Priority of a request: that of the organisation that holds its key, or else of its route. */
        static int priority(Route route, Optional<RoutingConfig.Organisation> keyHolder) {
            return keyHolder.flatMap(RoutingConfig.Organisation::priority).orElse(route.priority());
        }

        /** Time from the receipt of a request to its deadline: that of the route, or less if the client says so. */
        static long timeoutMillis(RequestHead head, Route route) {
            return Math.min(head.remainingMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        }

        /** The request id that the client chose. */
        public String id() {
            return head.requestId();
        }

        /**
         * Rank among the requests of a service, lowest first: by the priority of the organisation, or else of the route,
         * and among equal ones by that of the route.
         */
        public int rank() {
            int last = PRIORITIES - 1;
            return Math.max(0, Math.min(last, priority)) * PRIORITIES + Math.max(0, Math.min(last, route.priority()));
        }

        /** The host that the request names, in lower case and without a port; empty if it names none. */
        public String host() {
            return host(fields);
        }

        /** The canonical path of the request. */
        public String path() {
            return HttpURI.from(pathQuery).getCanonicalPath();
        }

        /** Identifies the request when its client sends it again with another id; computed at each call. */
        public String fingerprint() {
            return Fingerprint.ofHttp(organisation, method, host(fields), pathQuery, body);
        }

        /** Names of the parts of its prompt that other requests may share; decoded at each call. */
        public Set<String> sharedPromptParts() {
            return RequestHead.sharedPromptParts(fields).stream()
                    .map(PromptParts::name)
                    .collect(Collectors.toUnmodifiableSet());
        }

        /** The host that a request names, in lower case and without a port; empty if it names none. */
        static String host(HttpFields fields) {
            String host = fields.get(HttpHeader.HOST);
            if (host == null) {
                return "";
            }
            int port = host.lastIndexOf(':');
            return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        }
    }

    Exchange(
            ClientRequest call,
            Response response,
            Callback callback,
            BooleanSupplier closing,
            ClientDisconnectProbe probe) {
        this.probe = probe;
        this.request = call;
        this.response = response;
        this.callback = callback;
        this.closing = closing;
        this.forwarded = EventIds.after(call.head().lastEventId().orElse(-1L));
    }

    /** The exchange of a request that is only asked about: it has ended, so that nothing is sent to anyone. */
    public static Exchange withoutClient(ClientRequest request) {
        Exchange exchange = new Exchange(request, null, Callback.NOOP, () -> false, null);
        exchange.state.set(State.ENDED);
        return exchange;
    }

    /** The client's request. */
    public ClientRequest request() {
        return request;
    }

    /** Applies a changed configuration to the request; called only while it has no attempt. */
    public void reconfigure(ClientRequest changed) {
        request = changed;
    }

    /** Whether a part of the response has been sent, so that it can only be continued or aborted. */
    public boolean isCommitted() {
        return committed;
    }

    /** Whether the exchange has ended. */
    public boolean isEnded() {
        return state.get() == State.ENDED;
    }

    /** Id of the last event that was sent to the client; empty if there is none. */
    public Optional<Long> lastEventId() {
        long id = forwarded.lastId();
        return id < 0 ? Optional.empty() : Optional.of(id);
    }

    /** Ids of the events that were sent to the client, in this response. */
    public EventIds forwardedIds() {
        return forwarded;
    }

    /** When the last event was sent to the client, on the steady clock; 0 before the first. */
    public long lastEventMillis() {
        return lastEventMillis;
    }

    /** Time from the request to its first event, in milliseconds; negative before the first event. */
    public long timeToFirstEventMillis() {
        return firstEventMillis == 0 ? -1 : firstEventMillis - request.receivedMillis();
    }

    /** Mean time between two writes to the client, in milliseconds; 0 before the second. */
    public double meanPauseMillis() {
        int pauseCount = writes - 1;
        return pauseCount < 1 ? 0 : (lastEventMillis - firstEventMillis) / (double) pauseCount;
    }

    /** Longest pause between two events so far, in milliseconds. */
    public long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Whether the client has closed its connection; probed only if no event was sent within the probe's interval. */
    public boolean hasClientDisconnected(long nowMillis) {
        long idleMillis = nowMillis - Math.max(lastEventMillis, request.receivedMillis());
        return !isEnded() && idleMillis > ClientDisconnectProbe.INTERVAL_MILLIS && probe.hasClosed(nowMillis);
    }

    /** How the close of the client's connection was detected; empty while it is open. */
    public String clientCloseReason() {
        return probe.closeReason();
    }

    /**
     * Ends the exchange; false if it had already ended. Stops the probe, which must not read the bytes after the
     * response.
     */
    private boolean end() {
        return endFrom(state.getAndSet(State.ENDED));
    }

    /** Ends an exchange of whose response nothing has been sent; false if an event is being sent, or it has ended. */
    private boolean endUnsent() {
        return state.compareAndSet(State.OPEN, State.ENDED) && endFrom(State.OPEN);
    }

    private boolean endFrom(State before) {
        probe.stop();
        return before != State.ENDED;
    }

    /** Whether events may be sent; the first of them decides that the response is a stream. */
    private boolean beginEvents() {
        return state.compareAndSet(State.OPEN, State.STREAMING) || state.get() == State.STREAMING;
    }

    /**
     * Forwards whole events; sends the headers of the first response before them. Fails if the exchange has ended: the
     * router may refuse a request while its first event is on the way, and the client would get both in one response.
     */
    void relay(HttpFields fields, ByteBuffer events, EventIds ids, long nowMillis, Callback done) {
        if (!beginEvents()) {
            done.failed(new IOException("the exchange has ended"));
            return;
        }
        if (!committed) {
            committed = true;
            beginResponse(200);
            ResponseHead.copyEndToEnd(fields, response.getHeaders());
            // On a connection that closes after the response, the server would let the close mark its end. A stream
            // that is cut because the process is killed would then look complete; the last chunk tells the two apart.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
        EventIds before = forwarded;
        forwarded = before.plus(ids);
        if (lastEventMillis == 0) {
            firstEventMillis = nowMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
        int writesBefore = writes;
        writes = writesBefore + 1;
        response.write(false, events, done);
    }

    /** Ends a stream whose events were all forwarded; false if it had already ended or its end cannot be written. */
    public boolean complete(HttpFields fields) {
        return end()
                && writeLast(callback, () -> {
                    if (!committed) {
                        beginResponse(200);
                        ResponseHead.copyEndToEnd(fields, response.getHeaders());
                    }
                    response.write(true, ByteBuffer.allocate(0), callback);
                });
    }

    /** Forwards a complete response of a backend server; false if that is too late or it cannot be written. */
    public boolean forwardResponse(int status, HttpFields fields, byte[] body) {
        return endUnsent()
                && writeLast(callback, () -> {
                    beginResponse(status);
                    ResponseHead.copyEndToEnd(fields, response.getHeaders());
                    response.write(true, ByteBuffer.wrap(body), callback);
                });
    }

    /**
     * Sends the gateway's own response; false if that is too late or it cannot be written.
     *
     * @param retryMillis minimum time after which the client may retry, in milliseconds, or 0 for none; up to half of
     *     it is added at random, so that clients that were refused together do not retry together
     */
    public boolean refuse(Refusal refusal, long retryMillis) {
        return endUnsent() && refuse(response, callback, refusal, retryMillis, closing.getAsBoolean());
    }

    /** Writes the gateway's own response; false if it cannot be written. */
    static boolean refuse(Response response, Callback callback, Refusal refusal, long retryMillis, boolean close) {
        return writeLast(callback, () -> {
            response.setStatus(refusal.status());
            HttpFields.Mutable fields = response.getHeaders();
            if (close) {
                fields.put(HttpHeader.CONNECTION, "close");
            }
            if (retryMillis > 0) {
                double seconds = retryMillis
                        / 1_000.0
                        * (1 + RETRY_JITTER * ThreadLocalRandom.current().nextDouble());
                fields.put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
            }
            fields.put(HttpHeader.CONTENT_TYPE, "text/plain");
            response.write(true, ByteBuffer.wrap(refusal.text().getBytes(StandardCharsets.UTF_8)), callback);
        });
    }

    /** Makes the calls that end a response; if one throws, fails the response, as no later call would end it. */
    private static boolean writeLast(Callback callback, Runnable calls) {
        try {
            calls.run();
            return true;
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "request: the end of a response could not be written", e);
            callback.failed(e);
            return false;
        }
    }

    /** Aborts the response in a way that the client cannot mistake for its end. */
    public boolean abort(String reason) {
        if (!end()) {
            return false;
        }
        callback.failed(new IOException(reason));
        return true;
    }

    private void beginResponse(int status) {
        response.setStatus(status);
        if (closing.getAsBoolean()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }
}
