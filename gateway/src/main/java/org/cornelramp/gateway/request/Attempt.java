package org.cornelramp.gateway.request;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.platform.AnswerHead;
import org.cornelramp.platform.ForwardHead;
import org.cornelramp.platform.SocketReadiness;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * One attempt at a backend server: sends the request once, passes the events of a stream on as they come, and tells
 * how it ended. {@link #start} is called once; {@link #cancel} by any thread.
 *
 * <p>Invariant: the end is told once. Events are read only when the client has taken those before, so a slow client
 * holds back its backend server instead of filling the memory.
 */
public final class Attempt {
    /** An answer that is larger than this is not one of a plain service; streams are not buffered. */
    private static final int MAX_BUFFERED = 16 << 20;

    /** Characters of a failure that are logged: its kind and what it says first. */
    private static final int MOST_DETAIL = 120;

    private final HttpClient http;
    private final Exchange exchange;
    private final BackendServer server;
    private final ForwardHead head;
    private final SteadyClock clock;
    private final BiConsumer<Attempt, AttemptEnd> onEnd;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final AtomicReference<AttemptEnd> told = new AtomicReference<>();
    private volatile StagePath path;
    private volatile Request request;
    private volatile boolean begun;
    private volatile boolean answering;
    private volatile boolean relaying;
    private volatile boolean cancelled;
    private volatile boolean contentEnded;
    private volatile Throwable clientFailure;
    private volatile AnswerHead answer;
    private volatile HttpFields fields = HttpFields.EMPTY;
    private boolean writing;
    private boolean over;
    private Result endedWhileWriting;
    private long startMillis;

    /** @param onEnd called once, by any thread, when the attempt has ended */
    public Attempt(
            HttpClient http,
            Exchange exchange,
            BackendServer server,
            ForwardHead head,
            SteadyClock clock,
            BiConsumer<Attempt, AttemptEnd> onEnd) {
        this.http = http;
        this.exchange = exchange;
        this.server = server;
        this.head = head;
        this.clock = clock;
        this.onEnd = onEnd;
        this.path = head.path().orElse(null);
    }

    /** The exchange that it serves. */
    public Exchange exchange() {
        return exchange;
    }

    /** Where it was sent. */
    public BackendServer server() {
        return server;
    }

    /** The engines that run it now; empty for a plain service. */
    public Optional<StagePath> path() {
        return Optional.ofNullable(path);
    }

    /** Notes that the engine has moved the request to another path. */
    public void movedTo(StagePath other) {
        path = other;
    }

    /** When it was started, on the steady clock. */
    public long startMillis() {
        return startMillis;
    }

    /** Whether the backend server has begun to answer. */
    public boolean isAnswering() {
        return answering;
    }

    /** Whether a part of the answer has arrived that this process has not read yet. */
    public boolean hasUnread() {
        Request out = request;
        return out != null && SocketReadiness.hasUnread(out);
    }

    /** Sends the request. */
    public void start(long nowMillis) {
        startMillis = nowMillis;
        Exchange.Call call = exchange.call();
        Request out = http.newRequest(server.address().host(), server.address().port())
                .method(call.method())
                .path(call.pathQuery())
                .tag(server.id()) // a connection to an earlier life at the address is never used again
                .headers(own -> head.write(call.fields(), own));
        if (call.body().length > 0 || !HttpMethod.GET.is(call.method())) {
            out.body(new BytesRequestContent((String) null, call.body()));
        }
        out.onRequestBegin(any -> begun = true);
        out.onResponseContentSource(this::onContent);
        request = out;
        out.send(this::onComplete);
    }

    /** Ends the attempt; closing the connection makes the backend server stop. */
    public void cancel(String why) {
        cancelled = true;
        Request out = request;
        if (out != null) {
            var unused = out.abort(new CancelledAttempt(why)); // the end is told by onComplete
        }
    }

    /** Whether this gateway has ended the attempt, so that its end tells nothing of the backend server. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Marks an end that the gateway itself brought about. Immutable. */
    private static final class CancelledAttempt extends Exception {
        private static final long serialVersionUID = 1L;

        CancelledAttempt(String why) {
            super(why, null, false, false);
        }
    }

    void onContent(Response response, Content.Source source) {
        fields = response.getHeaders();
        AnswerHead decoded = AnswerHead.decode(response.getStatus(), fields);
        answer = decoded;
        answering = true;
        relaying = exchange.call().route().kind() == RouteKind.STREAMING && decoded.isSuccess() && isOwn(decoded);
        read(source);
    }

    /** An answer without the request's id, or with another one, belongs to an earlier request of the connection. */
    private boolean isOwn(AnswerHead decoded) {
        return decoded.requestId().equals(exchange.call().id());
    }

    private void read(Content.Source source) {
        while (true) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(() -> read(source));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                return; // the failure ends the exchange, see onComplete
            }
            boolean last = chunk.isLast();
            ByteBuffer events = take(chunk);
            contentEnded = last;
            if (events.hasRemaining()) {
                relay(source, events, last);
                return;
            }
            if (last) {
                return;
            }
        }
    }

    /** The whole events that the chunk completes; none where the answer is buffered. */
    private ByteBuffer take(Content.Chunk chunk) {
        ByteBuffer bytes = chunk.getByteBuffer();
        try {
            if (relaying) {
                return takeEvents(bytes);
            }
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            buffer.writeBytes(copy);
            if (buffer.size() > MAX_BUFFERED) {
                cancel("the answer is too large");
            }
            return ByteBuffer.allocate(0);
        } finally {
            chunk.release();
        }
    }

    private ByteBuffer takeEvents(ByteBuffer bytes) {
        ByteBuffer events = splitter.take(bytes);
        if (splitter.hasOverflowed()) {
            cancel("an event has no end");
        }
        return events;
    }

    private void relay(Content.Source source, ByteBuffer events, boolean last) {
        if (!beginWrite()) {
            return;
        }
        Callback done = Callback.from(() -> relayed(source, last), this::clientLost);
        exchange.relay(fields, events, splitter.lastId(), clock.millis(), done);
    }

    private void relayed(Content.Source source, boolean last) {
        endWrite();
        if (!last) {
            read(source);
        }
    }

    private void clientLost(Throwable failure) {
        clientFailure = failure;
        cancel("the client has gone");
        endWrite();
    }

    /**
     * Begins a write unless the attempt is over. The router may cancel an attempt between the read of some events and
     * their write, and send the request again after the last event that was passed on. Written all the same, the events
     * would reach the client twice, or meet the next attempt's write on the same connection, which fails both and looks
     * like a client that has left. Left out, they come again from the next attempt.
     */
    private synchronized boolean beginWrite() {
        writing = !over;
        return writing;
    }

    private void endWrite() {
        Result result;
        synchronized (this) {
            writing = false;
            result = endedWhileWriting;
            over |= result != null;
        }
        if (result != null) {
            tell(end(result));
        }
    }

    /** An end that comes during a write is told after it: two writes at once on one connection would fail. */
    void onComplete(Result result) {
        synchronized (this) {
            if (writing) {
                endedWhileWriting = result;
                return;
            }
            over = true;
        }
        tell(end(result));
    }

    private AttemptEnd end(Result result) {
        Throwable failure = result.getFailure();
        if (clientFailure != null) {
            return AttemptEnd.without(AttemptEnd.Kind.CLIENT_GONE, brief(clientFailure));
        }
        AnswerHead decoded = answer;
        if (result.isFailed() || decoded == null) {
            return AttemptEnd.without(unanswered(failure), brief(failure));
        }
        if (!isOwn(decoded) && !decoded.saysNotRun()) {
            return AttemptEnd.without(AttemptEnd.Kind.BROKEN, "the answer belongs to another request");
        }
        if (relaying) {
            boolean whole = contentEnded && splitter.isWhole();
            return new AttemptEnd(
                    whole ? AttemptEnd.Kind.RELAYED : AttemptEnd.Kind.BROKEN,
                    decoded.status(),
                    fields,
                    new byte[0],
                    decoded.faultAt(),
                    whole ? "" : "the stream ended within an event");
        }
        return answered(decoded);
    }

    /** The kind of an end without an answer. */
    private AttemptEnd.Kind unanswered(Throwable failure) {
        if (begun && !(failure instanceof ConnectException)) {
            return AttemptEnd.Kind.BROKEN;
        }
        boolean timedOut = failure instanceof SocketTimeoutException;
        return timedOut ? AttemptEnd.Kind.NO_CONNECTION : AttemptEnd.Kind.NOT_SENT;
    }

    /** A failure for logs. The HTTP library's own texts hold the state of a whole connection, a kilobyte a line. */
    private static String brief(Throwable failure) {
        String text = failure instanceof CancelledAttempt ? failure.getMessage() : String.valueOf(failure);
        return text.length() > MOST_DETAIL ? text.substring(0, MOST_DETAIL) : text;
    }

    private AttemptEnd answered(AnswerHead decoded) {
        AttemptEnd.Kind kind = AttemptEnd.Kind.ANSWERED;
        if (decoded.saysNotRun()) {
            kind = AttemptEnd.Kind.NOT_RUN;
        } else if (!decoded.signed() || decoded.encoded()) {
            kind = AttemptEnd.Kind.BROKEN;
        }
        return new AttemptEnd(
                kind, decoded.status(), fields, buffer.toByteArray(), decoded.faultAt(), "status " + decoded.status());
    }

    private void tell(AttemptEnd end) {
        if (told.compareAndSet(null, end)) {
            onEnd.accept(this, end);
        }
    }
}
