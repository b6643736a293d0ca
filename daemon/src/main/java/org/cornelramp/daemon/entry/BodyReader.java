package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads the body of one request without holding a thread while the caller is slow.
 *
 * <p>Confined to the thread that the server calls it on. Invariant: at most the bound is held, and what follows is
 * called once.
 */
final class BodyReader implements Runnable {
    private final Request request;
    private final int maxBytes;
    private final Consumer<Either<Problem, byte[]>> then;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    BodyReader(Request request, int maxBytes, Consumer<Either<Problem, byte[]>> then) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.then = then;
    }

    /** Starts reading. */
    void start() {
        if (request.getLength() > maxBytes) {
            then.accept(Either.left(tooLarge()));
            return;
        }
        run();
    }

    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                then.accept(Either.left(failure(chunk.getFailure())));
                return;
            }
            byte[] bytes = new byte[chunk.remaining()];
            chunk.getByteBuffer().get(bytes);
            chunk.release();
            body.writeBytes(bytes);
            if (body.size() > maxBytes) {
                then.accept(Either.left(tooLarge()));
                return;
            }
            if (chunk.isLast()) {
                then.accept(Either.right(body.toByteArray()));
                return;
            }
        }
    }

    private Problem failure(Throwable cause) {
        if (cause instanceof HttpException http && http.getCode() == HttpStatus.PAYLOAD_TOO_LARGE_413) {
            return tooLarge();
        }
        return Problem.notRun(ProblemKind.MALFORMED_REQUEST, "The body did not come whole or in time.");
    }

    private Problem tooLarge() {
        return Problem.notRun(
                ProblemKind.REQUEST_TOO_LARGE, "The body is larger than the limit of " + maxBytes + " bytes.");
    }
}
