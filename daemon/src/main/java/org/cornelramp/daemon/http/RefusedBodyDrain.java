package org.cornelramp.daemon.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the rest of a body that is refused and drops it, before the refusal is written.
 *
 * <p>A server that answers and closes with bytes unread resets the connection, and a caller that is still sending loses the
 * answer with it: of 60 bodies of twice the bound, sent to a busy process, 5 callers saw a closed connection instead of
 * the refusal, and could not know that nothing ran. Reading on is bounded in bytes and time, so it costs no more than a
 * body that is taken.
 *
 * <p>Called by the server, one call at a time, and by its scheduler. Invariant: what follows is called once.
 */
public final class RefusedBody implements Runnable {
    /** Most bytes that are dropped: sixteen times the usual bound on bodies. */
    private static final long MOST_BYTES = 16L << 20;

    /** Longest time that is read on; a caller that is slower than that does not send in one go. */
    private static final long LONGEST_MILLIS = 2_000;

    private final Request request;
    private final Runnable then;
    private final AtomicBoolean ended = new AtomicBoolean();
    private Scheduler.Task timeout = () -> true;
    private long dropped;

    private RefusedBody(Request request, Runnable then) {
        this.request = request;
        this.then = then;
    }

    /**
     * Drops what is left of a request's body. A caller that waits for a word before it sends its body gets the refusal at
     * once, as it has sent nothing.
     *
     * @param then called once, when the body has ended or no more of it is read
     */
    public static void drop(Request request, Runnable then) {
        if (request.getHeaders().contains(HttpHeader.EXPECT)) {
            then.run();
            return;
        }
        RefusedBody body = new RefusedBody(request, then);
        body.timeout =
                request.getComponents().getScheduler().schedule(body::end, LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        body.run();
    }

    @Override
    public void run() {
        while (!ended.get()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            dropped += chunk.remaining();
            chunk.release();
            if (chunk.isLast() || Content.Chunk.isFailure(chunk) || dropped > MOST_BYTES) {
                end();
            }
        }
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            timeout.cancel();
            then.run();
        }
    }
}
