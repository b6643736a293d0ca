package org.cornelramp.daemon.http;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the body of one request asynchronously, without blocking a thread while the caller is slow.
 *
 * <p>Called by the server, one call at a time, and by its scheduler. Invariants: little more than the limit is held in
 * memory (a chunk above it is dropped at once), and the callback is called exactly once, at the latest after the
 * timeout for the body.
 */
public final class BodyReader implements Runnable {
    /** Timeout for the whole body; without it, a caller that sends a byte now and then would hold its slot for ever. */
    private static final long TIMEOUT_SECONDS = 10;

    private final Request request;
    private final int maxBytes;
    private final Consumer<Either<Problem, byte[]>> onResult;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean completed = new AtomicBoolean();
    private Scheduler.Task timeout = () -> true;
    private boolean refused;

    /** @param onResult called once, with the whole body or the reason why there is none */
    public BodyReader(Request request, int maxBytes, Consumer<Either<Problem, byte[]>> onResult) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.onResult = onResult;
    }

    /** Starts to read the body. */
    public void start() {
        if (request.getLength() > maxBytes) {
            refuse();
            return;
        }
        timeout = request.getComponents()
                .getScheduler()
                .schedule(() -> complete(Either.left(incomplete())), TIMEOUT_SECONDS, TimeUnit.SECONDS);
        run();
    }

    @Override
    public void run() {
        while (!completed.get() && !refused) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                complete(Either.left(failure(chunk.getFailure())));
                return;
            }
            append(chunk);
        }
    }

    private void append(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        chunk.release();
        body.writeBytes(bytes);
        if (body.size() > maxBytes) {
            refuse();
        } else if (chunk.isLast()) {
            complete(Either.right(body.toByteArray()));
        }
    }

    private void refuse() {
        refused = true;
        body.reset();
        RefusedBodyDrain.discard(request, () -> complete(Either.left(tooLarge())));
    }

    private void complete(Either<Problem, byte[]> result) {
        if (completed.compareAndSet(false, true)) {
            timeout.cancel();
            onResult.accept(result);
        }
    }

    private Problem failure(Throwable cause) {
        boolean large = cause instanceof HttpException http && http.getCode() == HttpStatus.PAYLOAD_TOO_LARGE_413;
        return large ? tooLarge() : incomplete();
    }

    private static Problem incomplete() {
        return Problem.notRun(
                ProblemKind.MALFORMED_REQUEST, "The body did not arrive completely within " + TIMEOUT_SECONDS + " s.");
    }

    private Problem tooLarge() {
        return Problem.notRun(
                ProblemKind.REQUEST_TOO_LARGE, "The body is larger than the limit of " + maxBytes + " bytes.");
    }
}
