package org.cornelramp.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.daemon.http.ProblemWriter;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Writes one answer over HTTP without blocking whoever gives it.
 *
 * <p>Safe for use by any thread. Invariants: the headers go out once; what waits for a slow caller stays within a
 * bound, beyond which the connection is cut; a stream reads as complete only after {@link #endStream}.
 */
final class HttpAnswer implements CallerAnswer {
    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] ERROR = "event: error\ndata: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.UTF_8);
    private static final byte[] END_OF_EVENT = "\n\n".getBytes(StandardCharsets.UTF_8);
    private static final long MILLIS_PER_SECOND = 1_000;

    private final String requestId;
    private final Response response;
    private final Callback callback;
    private final int maxWaiting;
    private final Writer writer = new Writer();
    private final ByteArrayOutputStream waiting = new ByteArrayOutputStream();
    private boolean streaming;
    private boolean ended;
    private boolean broken;
    private volatile boolean waitingForAnswer;
    private Runnable onBroken = () -> {};

    /**
     * @param requestId id of the request
     * @param response the response, of which nothing has been sent
     * @param callback completed when the answer is out
     * @param maxWaiting most bytes of a stream that may wait for its caller
     */
    HttpAnswer(String requestId, Response response, Callback callback, int maxWaiting) {
        this.requestId = requestId;
        this.response = response;
        this.callback = callback;
        this.maxWaiting = maxWaiting;
    }

    /** Says that the body has come, so that from now on the caller waits for the entry. */
    void bodyCame() {
        waitingForAnswer = true;
    }

    /** Whether the caller waits while nothing is being written to it. */
    boolean isWaiting() {
        return waitingForAnswer;
    }

    /** Sets what is called, once, when the caller is found gone in mid-stream. */
    synchronized void onBroken(Runnable action) {
        onBroken = action;
    }

    @Override
    public void whole(int status, String contentType, byte[] body) {
        synchronized (this) {
            if (ended || streaming) {
                return;
            }
            ended = true;
        }
        head(status, contentType);
        response.getHeaders().put(Headers.OUTCOME, Outcome.ANSWERED.text());
        send(body);
    }

    @Override
    public void problem(Problem problem) {
        byte[] body = ProblemWriter.toJson(problem, requestId).getBytes(StandardCharsets.UTF_8);
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            if (streaming) {
                append(ERROR, body);
            }
        }
        if (streaming) {
            writer.iterate();
            return;
        }
        head(problem.kind().status(), ProblemWriter.MEDIA_TYPE);
        response.getHeaders().put(Headers.OUTCOME, problem.outcome().text());
        if (!problem.retryAfter().isZero()) {
            long seconds = (problem.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
        }
        send(body);
    }

    @Override
    public boolean event(byte[] data) {
        boolean first;
        boolean full;
        synchronized (this) {
            if (ended) {
                return !broken;
            }
            first = !streaming;
            streaming = true;
            append(DATA, data);
            full = waiting.size() > maxWaiting;
        }
        if (full) {
            // A caller that reads too slowly would hold ever more memory; cutting the connection is safe, since
            // the stream lacks its end and so cannot pass for complete.
            writer.abort(new IllegalStateException("The caller reads too slowly"));
            return false;
        }
        if (first) {
            head(200, Headers.EVENT_STREAM);
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        }
        writer.iterate();
        return true;
    }

    @Override
    public void endStream() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            append(DATA, DONE);
        }
        writer.iterate();
    }

    private void head(int status, String contentType) {
        response.setStatus(status);
        if (!contentType.isEmpty()) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        }
        response.getHeaders().put(Headers.REQUEST_ID, requestId);
    }

    private void send(byte[] body) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    private void append(byte[] prefix, byte[] data) {
        waiting.writeBytes(prefix);
        waiting.writeBytes(data);
        waiting.writeBytes(END_OF_EVENT);
    }

    /** Writes what waits, one write at a time. */
    private final class Writer extends IteratingCallback {
        private boolean last;

        @Override
        protected Action process() {
            ByteBuffer next;
            synchronized (HttpAnswer.this) {
                if (last) {
                    return Action.SUCCEEDED;
                }
                if (waiting.size() == 0) {
                    return Action.IDLE;
                }
                last = ended;
                next = ByteBuffer.wrap(waiting.toByteArray());
                waiting.reset();
            }
            response.write(last, next, this);
            return Action.SCHEDULED;
        }

        @Override
        protected void onCompleteSuccess() {
            callback.succeeded();
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            Runnable action;
            synchronized (HttpAnswer.this) {
                broken = true;
                ended = true;
                action = onBroken;
            }
            callback.failed(cause);
            action.run();
        }
    }
}
