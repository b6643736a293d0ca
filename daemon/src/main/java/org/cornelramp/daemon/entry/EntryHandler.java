package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Clock;
import java.time.Instant;
import java.util.concurrent.ThreadLocalRandom;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.daemon.http.BodyReader;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Base of the HTTP handlers for callers' requests. Assigns the request id, reads the body within its bound, and finds
 * the row that applies to the request. Safe for use by any thread.
 */
abstract class EntryHandler extends Handler.Abstract.NonBlocking {
    private final EntryContext context;

    EntryHandler(EntryContext context) {
        this.context = context;
    }

    @Override
    public final boolean handle(Request request, Response response, Callback callback) {
        Instant now = context.clock().instant();
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String id = "r-" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        HttpAnswer answer =
                new HttpAnswer(id, response, context.openAnswers().track(callback), context.maxBufferedBytes());
        // The deadline ends a request, not the connection's idle timeout, because a caller that waits for its answer
        // sends nothing.
        request.addIdleTimeoutListener(timeout -> !answer.isCallerWaiting());
        new BodyReader(request, context.maxBodyBytes(), body -> {
                    if (body.isLeft()) {
                        refuse(answer, body.getLeft());
                    } else {
                        answer.requestBodyReceived();
                        handle(new ReceivedRequest(id, request, body.get(), answer, now));
                    }
                })
                .start();
        return true;
    }

    /** Handles a request whose body has been received. */
    abstract void handle(ReceivedRequest received);

    final EntryContext context() {
        return context;
    }

    final Clock clock() {
        return context.clock();
    }

    /** Refuses a request before its row is known, or one that has no row. */
    final void refuse(CallerAnswer answer, Problem problem) {
        context.tracker().recordRefusal(problem);
        answer.fail(problem);
    }

    /** Returns the request with its row and deadline, or why it is refused. */
    final Either<Problem, CallerRequest> toCallerRequest(ReceivedRequest received, ServiceName service) {
        String authorization = received.header(HttpHeader.AUTHORIZATION.asString());
        return context.authenticator().findRow(authorization, service).flatMap(row -> CallerAuthenticator.parseDeadline(
                        received.header(Headers.DEADLINE), row, received.arrivedAt())
                .map(deadline ->
                        new CallerRequest(received.id(), row, received.arrivedAt(), deadline, received.answer())));
    }

    /**
     * A request whose body has been received. Immutable as long as the array is not modified.
     *
     * @param id id of the request
     * @param request the HTTP request
     * @param body its body
     * @param answer receives the answer
     * @param arrivedAt when the request arrived
     */
    record ReceivedRequest(String id, Request request, byte[] body, HttpAnswer answer, Instant arrivedAt) {

        /** Returns the value of a header; null if there is none. */
        String header(String name) {
            return request.getHeaders().get(name);
        }
    }
}
