package org.cornelramp.daemon.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads and discards the rest of a refused request's body before the refusal is written.
 *
 * <p>A server that answers and closes with bytes unread resets the connection, and a caller that is still sending loses
 * the answer: of 60 bodies of twice the limit, sent to a busy process, 5 callers saw a closed connection instead of the
 * refusal, and could not know that nothing ran. The reading is bounded in bytes and time, so it costs no more than an
 * accepted body.
 *
 * <p>Called by the server, one call at a time, and by its scheduler. Invariant: the callback is called exactly once.
 */
public final class RefusedBodyDrain implements Runnable {
    /** Most bytes that are discarded: sixteen times the usual limit on bodies. */
    private static final long MAX_BYTES = 16L << 20;

    /** Longest time to go on reading; a caller that needs longer does not send its body in one go. */
    private static final long TIMEOUT_MILLIS = 2_000;

    private final Request request;
    private final Runnable onComplete;
    private final AtomicBoolean completed = new AtomicBoolean();
    private Scheduler.Task timeout = () -> true;
    private long discardedBytes;

    private RefusedBodyDrain(Request request, Runnable onComplete) {
        this.request = request;
        this.onComplete = onComplete;
    }

    /**
     * Discards the rest of a request's body. A request with an {@code Expect} header is refused at once, because its
     * caller waits for an answer before it sends the body.
     *
     * @param onComplete called once, when the body has ended or a limit is reached
     */
    public static void discard(Request request, Runnable onComplete) {
        if (request.getHeaders().contains(HttpHeader.EXPECT)) {
            onComplete.run();
            return;
        }
        RefusedBodyDrain body = new RefusedBodyDrain(request, onComplete);
        body.timeout =
                request.getComponents().getScheduler().schedule(body::complete, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        body.run();
    }

    @Override
    public void run() {
        while (!completed.get()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            discardedBytes += chunk.remaining();
            chunk.release();
            if (chunk.isLast() || Content.Chunk.isFailure(chunk) || discardedBytes > MAX_BYTES) {
                complete();
            }
        }
    }

    private void complete() {
        if (completed.compareAndSet(false, true)) {
            timeout.cancel();
            onComplete.run();
        }
    }
}
