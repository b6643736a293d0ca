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
 * Writes one answer over HTTP without blocking the calling thread.
 *
 * <p>Safe for use by any thread. Invariants: the headers are sent once; the bytes buffered for a slow caller are
 * bounded, and beyond the bound the connection is cut; a stream reads as complete only after {@link #endStream}.
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
    private final int maxBufferedBytes;
    private final Writer writer = new Writer();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private boolean streaming;
    private boolean ended;
    private boolean connectionLost;
    private volatile boolean callerWaiting;
    private Runnable connectionLostAction = () -> {};

    /**
     * @param requestId id of the request
     * @param response the response, of which nothing has been sent yet
     * @param callback completed when the answer has been written
     * @param maxBufferedBytes maximum number of bytes of a stream that are buffered for its caller
     */
    HttpAnswer(String requestId, Response response, Callback callback, int maxBufferedBytes) {
        this.requestId = requestId;
        this.response = response;
        this.callback = callback;
        this.maxBufferedBytes = maxBufferedBytes;
    }

    /** Records that the request body has been received, so that the caller now waits for the entry. */
    void requestBodyReceived() {
        callerWaiting = true;
    }

    /** Whether the request body has been received, so that the caller waits for the answer. */
    boolean isCallerWaiting() {
        return callerWaiting;
    }

    /** Sets the action that runs once when the connection fails during the answer. */
    synchronized void onConnectionLost(Runnable action) {
        connectionLostAction = action;
    }

    @Override
    public void complete(int status, String contentType, byte[] body) {
        synchronized (this) {
            if (ended || streaming) {
                return;
            }
            ended = true;
        }
        setStatusAndHeaders(status, contentType);
        response.getHeaders().put(Headers.OUTCOME, Outcome.ANSWERED.text());
        send(body);
    }

    @Override
    public void fail(Problem problem) {
        byte[] body = ProblemWriter.toJson(problem, requestId).getBytes(StandardCharsets.UTF_8);
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            if (streaming) {
                bufferEvent(ERROR, body);
            }
        }
        if (streaming) {
            writer.iterate();
            return;
        }
        setStatusAndHeaders(problem.kind().status(), ProblemWriter.MEDIA_TYPE);
        response.getHeaders().put(Headers.OUTCOME, problem.outcome().text());
        if (!problem.retryAfter().isZero()) {
            long seconds = (problem.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
        }
        send(body);
    }

    @Override
    public boolean sendEvent(byte[] data) {
        boolean first;
        boolean overBound;
        synchronized (this) {
            if (ended) {
                return !connectionLost;
            }
            first = !streaming;
            streaming = true;
            bufferEvent(DATA, data);
            overBound = buffer.size() > maxBufferedBytes;
        }
        if (overBound) {
            // A caller that reads too slowly would make the buffer grow without bound. Cutting the connection is safe,
            // because a stream without its end cannot pass for complete.
            writer.abort(new IllegalStateException("The caller reads too slowly"));
            return false;
        }
        if (first) {
            setStatusAndHeaders(200, Headers.EVENT_STREAM);
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
            bufferEvent(DATA, DONE);
        }
        writer.iterate();
    }

    private void setStatusAndHeaders(int status, String contentType) {
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

    private void bufferEvent(byte[] prefix, byte[] data) {
        buffer.writeBytes(prefix);
        buffer.writeBytes(data);
        buffer.writeBytes(END_OF_EVENT);
    }

    /** Writes the buffered bytes, one write at a time. */
    private final class Writer extends IteratingCallback {
        private boolean lastWriteIssued;

        @Override
        protected Action process() {
            ByteBuffer next;
            synchronized (HttpAnswer.this) {
                if (lastWriteIssued) {
                    return Action.SUCCEEDED;
                }
                if (buffer.size() == 0) {
                    return Action.IDLE;
                }
                lastWriteIssued = ended;
                next = ByteBuffer.wrap(buffer.toByteArray());
                buffer.reset();
            }
            response.write(lastWriteIssued, next, this);
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
                connectionLost = true;
                ended = true;
                action = connectionLostAction;
            }
            callback.failed(cause);
            action.run();
        }
    }
}
