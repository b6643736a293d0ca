package org.cornelramp.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.routing.Route;
import org.cornelramp.platform.AnswerHead;
import org.cornelramp.platform.CallHead;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * One client's request and the way back to the client.
 *
 * <p>Safe for use by any thread: the fields that are not final are written by one attempt at a time. Invariant: the
 * client gets one answer; whoever ends the exchange first decides which, later ends change nothing.
 */
public final class Exchange {
    private static final double SPREAD = 0.5;

    private final Call call;
    private final Response response;
    private final Callback callback;
    private final BooleanSupplier leaving;
    private final ClientProbe probe;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean committed;
    private volatile long lastEvent;
    private volatile long lastEventMillis;
    private volatile long firstEventMillis;
    private volatile long longestPauseMillis;
    private volatile int writes;

    /**
     * What the client asked for. Immutable, safe for use by any thread.
     *
     * @param head what the head says
     * @param method HTTP method
     * @param pathQuery path and query as they came
     * @param fields headers as they came
     * @param body the whole body
     * @param route the route that takes it
     * @param organisation who asks
     * @param priority rank, 0 first
     * @param receivedMillis when it was read
     * @param deadlineMillis when it must have its final answer
     */
    public record Call(
            CallHead head,
            String method,
            String pathQuery,
            HttpFields fields,
            byte[] body,
            Route route,
            Optional<OrganisationId> organisation,
            int priority,
            long receivedMillis,
            long deadlineMillis) {

        /** The client's id of this request. */
        public String id() {
            return head.requestId();
        }
    }

    Exchange(Call call, Response response, Callback callback, BooleanSupplier leaving, ClientProbe probe) {
        this.probe = probe;
        this.call = call;
        this.response = response;
        this.callback = callback;
        this.leaving = leaving;
        this.lastEvent = call.head().lastEvent().orElse(-1L);
    }

    /** What the client asked for. */
    public Call call() {
        return call;
    }

    /** Whether a part of the answer has been passed on, so that it can only go on or break off. */
    public boolean isCommitted() {
        return committed;
    }

    /** Whether the exchange has ended. */
    public boolean isEnded() {
        return ended.get();
    }

    /** The last event that the client has; empty if it has none. */
    public Optional<Long> lastEvent() {
        return lastEvent < 0 ? Optional.empty() : Optional.of(lastEvent);
    }

    /** When the last event was passed on, on the steady clock; 0 before the first. */
    public long lastEventMillis() {
        return lastEventMillis;
    }

    /** Time from the request to its first event; negative before that. */
    public long firstEventAfterMillis() {
        return firstEventMillis == 0 ? -1 : firstEventMillis - call.receivedMillis();
    }

    /** Usual time between two of the pieces that were passed on; 0 before the second. */
    public double usualPauseMillis() {
        int pauses = writes - 1;
        return pauses < 1 ? 0 : (lastEventMillis - firstEventMillis) / (double) pauses;
    }

    /** Longest pause between two events so far. */
    public long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Whether the client has closed its connection; asked only while no event has been passed on lately. */
    public boolean hasClientLeft(long nowMillis) {
        long quiet = nowMillis - Math.max(lastEventMillis, call.receivedMillis());
        return !ended.get() && quiet > ClientProbe.INTERVAL_MILLIS && probe.hasClosed(nowMillis);
    }

    /** What showed that the client has closed its connection; empty while it has not. */
    public String clientSeen() {
        return probe.seen();
    }

    /** Ends the exchange; false if it has ended before. The probe must not read what comes after the answer. */
    private boolean end() {
        boolean first = ended.compareAndSet(false, true);
        probe.stop();
        return first;
    }

    /** Passes whole events on; the head of the first answer goes before them. */
    void relay(HttpFields fields, ByteBuffer events, long lastId, long nowMillis, Callback done) {
        if (!committed) {
            committed = true;
            begin(200);
            AnswerHead.copy(fields, response.getHeaders());
            // On a connection that closes after its answer, the server would let the close end the answer. A stream
            // that is cut when the process is killed would look whole; the last chunk tells the two apart.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
        lastEvent = Math.max(lastEvent, lastId);
        if (lastEventMillis == 0) {
            firstEventMillis = nowMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
        int before = writes;
        writes = before + 1;
        response.write(false, events, done);
    }

    /** Ends a stream that was passed on whole. */
    public boolean complete(HttpFields fields) {
        if (!end()) {
            return false;
        }
        if (!committed) {
            begin(200);
            AnswerHead.copy(fields, response.getHeaders());
        }
        response.write(true, ByteBuffer.allocate(0), callback);
        return true;
    }

    /** Passes a whole answer of a backend server on. */
    public boolean answer(int status, HttpFields fields, byte[] body) {
        if (committed || !end()) {
            return false;
        }
        begin(status);
        AnswerHead.copy(fields, response.getHeaders());
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
    }

    /**
     * Answers by itself.
     *
     * @param retryMillis least time after which the client may come again; half of it more is spread at random, so
     *     that clients refused together do not come back together
     */
    public boolean refuse(Refusal refusal, long retryMillis) {
        if (committed || !end()) {
            return false;
        }
        refuse(response, callback, refusal, retryMillis, leaving.getAsBoolean());
        return true;
    }

    /** Writes the gateway's own answer. */
    static void refuse(Response response, Callback callback, Refusal refusal, long retryMillis, boolean close) {
        response.setStatus(refusal.status());
        HttpFields.Mutable fields = response.getHeaders();
        if (close) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        if (retryMillis > 0) {
            double seconds = retryMillis
                    / 1_000.0
                    * (1 + SPREAD * ThreadLocalRandom.current().nextDouble());
            fields.put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
        }
        fields.put(HttpHeader.CONTENT_TYPE, "text/plain");
        response.write(true, ByteBuffer.wrap(refusal.text().getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Breaks the answer off, so that it does not look complete. */
    public boolean breakOff(String why) {
        if (!end()) {
            return false;
        }
        callback.failed(new IOException(why));
        return true;
    }

    private void begin(int status) {
        response.setStatus(status);
        if (leaving.getAsBoolean()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }
}
