package org.cornelramp.gateway.request;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.gateway.ResponseMeter;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.platform.ForwardedHead;
import org.cornelramp.platform.InterimResponses;
import org.cornelramp.platform.ResponseHead;
import org.cornelramp.platform.SocketReadiness;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * One attempt to run a request on a backend server: sends the request once, forwards the events of a streaming response
 * as they arrive, and reports how the attempt ended. {@link #start} is called once; {@link #cancel} may be called by
 * any thread.
 *
 * <p>Invariant: the end is reported exactly once. Events are read only after the client has accepted the previous ones,
 * so a slow client applies backpressure to its backend server instead of filling the memory.
 */
public final class Attempt {
    private final HttpClient http;
    private final Exchange exchange;
    private final BackendServer server;
    private final ForwardedHead head;
    private final SteadyClock clock;
    private final BiConsumer<Attempt, AttemptEnd> onEnd;
    private final EventSplitter splitter;
    private final ResponseBuffer buffer = new ResponseBuffer();
    private final AttemptSequence sequence = new AttemptSequence();
    private final AtomicReference<AttemptEnd> reportedEnd = new AtomicReference<>();
    private final AtomicReference<ResponseHead> untakenHead = new AtomicReference<>();
    private volatile StagePath path;
    private volatile Request request;
    private volatile boolean requestBegun;
    private volatile boolean answering;
    private volatile boolean relaying;
    private volatile boolean cancelled;
    private volatile boolean readingStopped;
    private volatile boolean invalid;
    private volatile boolean contentEnded;
    private volatile String dropReason = "";
    private volatile Throwable clientFailure;
    private volatile ConnectionFault connectionFault = ConnectionFault.NONE;
    private volatile long firstEventMillis;
    private volatile EventIds received = EventIds.after(-1);
    private volatile ResponseHead receivedHead;
    private volatile HttpFields fields = HttpFields.EMPTY;
    private volatile Optional<ResponseMeter> meter = Optional.empty();
    private long startMillis;

    /** What became of the connection to the backend server. Immutable, safe for use by any thread. */
    public enum ConnectionFault {
        /** It was not refused, and the server has not closed it before the end of its response. */
        NONE,
        /** Nothing listens at the address. */
        REFUSED,
        /** The server's side closed or reset it before the end of the response. */
        BROKEN
    }

    /** @param onEnd called once, by any thread, when the attempt has ended */
    public Attempt(
            HttpClient http,
            Exchange exchange,
            BackendServer server,
            ForwardedHead head,
            SteadyClock clock,
            BiConsumer<Attempt, AttemptEnd> onEnd) {
        this.http = http;
        this.exchange = exchange;
        this.server = server;
        this.head = head;
        this.clock = clock;
        this.onEnd = onEnd;
        this.path = head.path().orElse(null);
        this.splitter = new EventSplitter(resumedAfterId());
    }

    /** The client exchange that this attempt serves. */
    public Exchange exchange() {
        return exchange;
    }

    /** The backend server that the request was sent to. */
    public BackendServer server() {
        return server;
    }

    /** The engines that run the request now; empty for a plain service. */
    public Optional<StagePath> path() {
        return Optional.ofNullable(path);
    }

    /** Records that the engine has moved the request to another path. */
    public void setPath(StagePath other) {
        path = other;
    }

    /** When the attempt was started, in milliseconds of the {@link SteadyClock}. */
    public long startMillis() {
        return startMillis;
    }

    /** Whether the head of the response has arrived. */
    public boolean hasResponseStarted() {
        return answering;
    }

    /** The head of the response once it has arrived; empty at later calls. */
    public Optional<ResponseHead> takeResponseHead() {
        return Optional.ofNullable(untakenHead.getAndSet(null));
    }

    /** What became of the connection; final once the attempt has ended. */
    public ConnectionFault connectionFault() {
        return connectionFault;
    }

    /** When the first events of this attempt were forwarded, on the steady clock; 0 before. */
    public long firstEventMillis() {
        return firstEventMillis;
    }

    /** Ids of the events that were read in this attempt, whether or not they were forwarded. */
    public EventIds receivedIds() {
        return received;
    }

    /** Id of the event after which the backend server was asked to resume the stream; -1 if it was not. */
    public long resumedAfterId() {
        return head.lastEventId().orElse(-1L);
    }

    /** Whether only the close of the connection can mark the end of the response; false before its head has arrived. */
    public boolean endsWithConnection() {
        ResponseHead responseHead = receivedHead;
        return responseHead != null
                && !responseHead.framed()
                && !HttpMethod.HEAD.is(exchange.request().method());
    }

    /** Whether its end has been reported, though it may not have been handled yet. */
    public boolean hasEnded() {
        return reportedEnd.get() != null;
    }

    /** Whether bytes of the response wait unread in the socket. */
    public boolean hasUnreadBytes() {
        Request out = request;
        return out != null && SocketReadiness.hasUnreadBytes(out);
    }

    /** Sends the request. */
    public void start(long nowMillis) {
        startMillis = nowMillis;
        Exchange.ClientRequest call = exchange.request();
        Request out = http.newRequest(server.address().host(), server.address().port())
                .method(call.method())
                .path(call.pathQuery())
                .tag(server.id()) // keeps connections to an earlier incarnation at the address from being reused
                .headers(headers -> head.write(call.fields(), headers));
        if (call.body().length > 0 || !HttpMethod.GET.is(call.method())) {
            out.body(new BytesRequestContent((String) null, call.body()));
        }
        out.onRequestBegin(started -> requestBegun = true);
        InterimResponses.closeAfter(out);
        out.onResponseContentSource(this::onContent);
        request = out;
        out.send(this::onComplete);
    }

    /**
     * Aborts the attempt and closes its connection, which makes the backend server stop. If the response is being read,
     * the reading thread aborts once it has handled the current chunk.
     */
    public void cancel(String reason) {
        cancelled = true;
        if (sequence.mayAbort(reason)) {
            abort(reason);
        } else {
            readingStopped = true;
        }
    }

    /** Aborts the attempt; its response is read on if the HTTP library fails to. */
    private void abort(String reason) {
        Request out = request;
        if (out != null) {
            var unused = out.abort(new AttemptFailures.CancelledException(reason)); // onComplete reports the end
            readingStopped = true;
        }
    }

    /** Cancels the attempt because its response is not valid, which counts against the backend server. */
    public void reject(String reason) {
        invalid = true;
        cancel(reason);
    }

    /** Whether the attempt was cancelled because its response is not valid. */
    public boolean hasInvalidResponse() {
        return invalid;
    }

    /**
     * Whether this gateway has cancelled the attempt; its end then says nothing about the backend server's health,
     * unless its response is not valid.
     */
    public boolean isCancelled() {
        return cancelled;
    }

    /**
     * Time for which bytes of the response have been arriving without completing its head or an event with an id, in
     * milliseconds; 0 for a buffered response whose head has arrived.
     */
    public long unfinishedMillis() {
        Request out = request;
        return out == null || (answering && !relaying)
                ? 0
                : ResponseMeter.of(out).map(ResponseMeter::receivingMillis).orElse(0L);
    }

    void onContent(Response response, Content.Source source) {
        if (HttpStatus.isInterim(response.getStatus())) {
            reject("the response has an interim status, though none was asked for");
            return;
        }
        fields = response.getHeaders();
        ResponseHead responseHead = ResponseHead.decode(response.getStatus(), fields);
        receivedHead = responseHead;
        untakenHead.set(responseHead);
        answering = true;
        relaying = exchange.request().route().kind() == RouteKind.STREAMING
                && responseHead.isSuccess()
                && matchesRequest(responseHead);
        meter = Optional.ofNullable(request).flatMap(ResponseMeter::of);
        meter.ifPresent(ResponseMeter::beginContent);
        read(source);
    }

    /** Whether the response carries this request's id. Otherwise it belongs to an earlier request of the connection. */
    public boolean matchesRequest(ResponseHead responseHead) {
        return responseHead.requestId().equals(exchange.request().id());
    }

    private void read(Content.Source source) {
        sequence.beginRead();
        readOn(source);
    }

    /**
     * Reads until the source has no more, a write is under way or the attempt is cancelled, and ends the read. An exception
     * ends the attempt: the HTTP library only logs one that is thrown within the callback of a write, and nothing would
     * read the rest of the response.
     */
    private void readOn(Content.Source source) {
        try {
            readChunks(source);
        } catch (RuntimeException e) {
            cancel("reading the response failed: " + e);
        } finally {
            endRead();
        }
    }

    private void readChunks(Content.Source source) {
        while (!readingStopped) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(() -> read(source));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                return; // onComplete reports the failure
            }
            boolean last = chunk.isLast();
            ByteBuffer events = consume(chunk);
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

    /** Consumes a chunk; returns the whole events that it completes, or none if the response is buffered. */
    private ByteBuffer consume(Content.Chunk chunk) {
        ByteBuffer bytes = chunk.getByteBuffer();
        int count = bytes.remaining();
        meter.ifPresent(connection -> connection.recordContent(count));
        try {
            if (relaying) {
                return splitEvents(bytes);
            }
            ResponseBuffer.Result kept = buffer.add(bytes);
            if (kept == ResponseBuffer.Result.TOO_LONG) {
                dropReason = "the response exceeds the buffer limit";
                reject(dropReason);
            } else if (kept == ResponseBuffer.Result.NO_MEMORY) {
                dropReason = "buffered responses take all memory for them";
                cancel(dropReason);
            }
            return ByteBuffer.allocate(0);
        } finally {
            chunk.release();
        }
    }

    private ByteBuffer splitEvents(ByteBuffer bytes) {
        ByteBuffer events = splitter.consume(bytes);
        received = splitter.received();
        if (splitter.hasOverflowed()) {
            reject("an event, or events without an id, exceed the size limit");
        } else if (!splitter.disorder().isEmpty()) {
            cancel(splitter.disorder());
        }
        if (splitter.newIds().count() > 0) {
            meter.ifPresent(ResponseMeter::recordProgress);
        }
        return events;
    }

    private void relay(Content.Source source, ByteBuffer events, boolean last) {
        if (!beginWrite()) {
            return;
        }
        Callback callback = Callback.from(() -> onRelayed(source, last), this::onWriteFailed);
        long now = clock.millis();
        firstEventMillis = firstEventMillis == 0 ? now : firstEventMillis;
        try {
            exchange.relay(fields, events, splitter.newIds(), now, callback);
        } catch (RuntimeException e) {
            onWriteFailed(e); // the exchange may have ended meanwhile, and its response takes no more writes
        }
    }

    private void onRelayed(Content.Source source, boolean last) {
        if (last) {
            endWrite();
            return;
        }
        sequence.beginRead();
        endWrite();
        readOn(source);
    }

    private void onWriteFailed(Throwable failure) {
        clientFailure = failure;
        cancel("a write to the client failed");
        endWrite();
    }

    /** Nothing is written after a failed write, as a part of it may have been sent. */
    private boolean beginWrite() {
        return clientFailure == null && sequence.beginWrite();
    }

    private void endWrite() {
        sequence.endWrite().ifPresent(this::reportEnd);
    }

    private void endRead() {
        Optional<Result> result = sequence.endRead();
        sequence.takeDeferredAbort().ifPresent(this::abort);
        result.ifPresent(this::reportEnd);
    }

    /** Handles the result, or keeps it until the write or the read that is under way has ended. */
    void onComplete(Result result) {
        if (sequence.complete(result)) {
            reportEnd(result);
        }
    }

    private void reportEnd(Result result) {
        reportEnd(end(result));
    }

    private AttemptEnd end(Result result) {
        Throwable failure = result.getFailure();
        if (clientFailure != null) {
            return AttemptEnd.without(
                    AttemptEnd.Kind.CLIENT_GONE, "write failed: " + AttemptFailures.summarise(clientFailure));
        }
        ResponseHead responseHead = receivedHead;
        if (result.isFailed() || responseHead == null) {
            connectionFault = cancelled ? ConnectionFault.NONE : AttemptFailures.connectionFault(failure, requestBegun);
            return AttemptEnd.without(AttemptFailures.kind(failure, requestBegun), AttemptFailures.summarise(failure));
        }
        if (!matchesRequest(responseHead) && !responseHead.notRun()) {
            return AttemptEnd.without(AttemptEnd.Kind.BROKEN, "the response belongs to another request");
        }
        if (relaying) {
            boolean whole = contentEnded && splitter.isWhole();
            connectionFault = whole || cancelled ? ConnectionFault.NONE : ConnectionFault.BROKEN;
            AttemptEnd.Kind kind = endsWithConnection() ? AttemptEnd.Kind.RELAYED_UNFRAMED : AttemptEnd.Kind.RELAYED;
            return new AttemptEnd(
                    whole ? kind : AttemptEnd.Kind.BROKEN,
                    responseHead.status(),
                    fields,
                    new byte[0],
                    responseHead.faultyEngine(),
                    whole ? "" : brokenDetail());
        }
        return bufferedEnd(responseHead);
    }

    private String brokenDetail() {
        String disorder = splitter.disorder();
        return disorder.isEmpty() ? "the stream ended in the middle of an event" : disorder;
    }

    private AttemptEnd bufferedEnd(ResponseHead responseHead) {
        if (!dropReason.isEmpty()) {
            return AttemptEnd.without(AttemptEnd.Kind.BROKEN, dropReason); // the library had received all of it
        }
        AttemptEnd.Kind kind = endsWithConnection() ? AttemptEnd.Kind.ANSWERED_UNFRAMED : AttemptEnd.Kind.ANSWERED;
        if (responseHead.notRun()) {
            kind = AttemptEnd.Kind.NOT_RUN;
        } else if (!responseHead.signed() || responseHead.encoded()) {
            kind = AttemptEnd.Kind.BROKEN;
        }
        return new AttemptEnd(
                kind,
                responseHead.status(),
                fields,
                buffer.toByteArray(),
                responseHead.faultyEngine(),
                "status " + responseHead.status());
    }

    private void reportEnd(AttemptEnd end) {
        buffer.releaseMemory();
        if (reportedEnd.compareAndSet(null, end)) {
            onEnd.accept(this, end);
        }
    }
}
