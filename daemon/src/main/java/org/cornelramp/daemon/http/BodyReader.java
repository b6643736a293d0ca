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
 * Reads the body of one request without holding a thread while the caller is slow.
 *
 * <p>Called by the server, one call at a time, and by its scheduler. Invariants: at most the bound is held, and what
 * follows is called once, at the latest when the time for the body is over.
 */
public final class BodyReader implements Runnable {
    /** Longest time for a whole body; a caller that sends a byte now and then would else hold its place for ever. */
    private static final long LONGEST_SECONDS = 10;

    private final Request request;
    private final int maxBytes;
    private final Consumer<Either<Problem, byte[]>> then;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private Scheduler.Task timeout = () -> true;
    private boolean refused;

    /** @param then called once, with the whole body or why there is none */
    public BodyReader(Request request, int maxBytes, Consumer<Either<Problem, byte[]>> then) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.then = then;
    }

    /** Starts reading. */
    public void start() {
        if (request.getLength() > maxBytes) {
            refuse();
            return;
        }
        timeout = request.getComponents()
                .getScheduler()
                .schedule(() -> end(Either.left(notWhole())), LONGEST_SECONDS, TimeUnit.SECONDS);
        run();
    }

    @Override
    public void run() {
        while (!ended.get() && !refused) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                end(Either.left(failure(chunk.getFailure())));
                return;
            }
            take(chunk);
        }
    }

    private void take(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        chunk.release();
        body.writeBytes(bytes);
        if (body.size() > maxBytes) {
            refuse();
        } else if (chunk.isLast()) {
            end(Either.right(body.toByteArray()));
        }
    }

    private void refuse() {
        refused = true;
        body.reset();
        RefusedBody.drop(request, () -> end(Either.left(tooLarge())));
    }

    private void end(Either<Problem, byte[]> result) {
        if (ended.compareAndSet(false, true)) {
            timeout.cancel();
            then.accept(result);
        }
    }

    private Problem failure(Throwable cause) {
        boolean large = cause instanceof HttpException http && http.getCode() == HttpStatus.PAYLOAD_TOO_LARGE_413;
        return large ? tooLarge() : notWhole();
    }

    private static Problem notWhole() {
        return Problem.notRun(
                ProblemKind.MALFORMED_REQUEST, "The body did not come whole within " + LONGEST_SECONDS + " s.");
    }

    private Problem tooLarge() {
        return Problem.notRun(
                ProblemKind.REQUEST_TOO_LARGE, "The body is larger than the limit of " + maxBytes + " bytes.");
    }
}
