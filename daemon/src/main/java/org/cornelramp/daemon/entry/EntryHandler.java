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
 * What the handlers of callers' requests share: the request id, the body within its bound, and the row that the
 * request is judged by. Safe for use by any thread.
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
        HttpAnswer answer = new HttpAnswer(id, response, context.open().track(callback), context.maxWaitingBytes());
        // The deadline ends a request, not the connection's idle timeout: a caller that waits sends nothing.
        request.addIdleTimeoutListener(timeout -> !answer.isWaiting());
        new BodyReader(request, context.maxBodyBytes(), body -> {
                    if (body.isLeft()) {
                        refuse(answer, body.getLeft());
                    } else {
                        answer.bodyCame();
                        handle(new Arrival(id, request, body.get(), answer, now));
                    }
                })
                .start();
        return true;
    }

    /** Handles one request whose body is there. */
    abstract void handle(Arrival arrival);

    final EntryContext context() {
        return context;
    }

    final Clock clock() {
        return context.clock();
    }

    /** Refuses a request before its row is known, or without one. */
    final void refuse(CallerAnswer answer, Problem problem) {
        context.ends().refused(problem);
        answer.problem(problem);
    }

    /** The request with its row and deadline, or why there is none. */
    final Either<Problem, CallerRequest> admit(Arrival arrival, ServiceName service) {
        String authorization = arrival.header(HttpHeader.AUTHORIZATION.asString());
        return context.callers().row(authorization, service).flatMap(row -> Callers.deadline(
                        arrival.header(Headers.DEADLINE), row, arrival.at())
                .map(deadline -> new CallerRequest(arrival.id(), row, arrival.at(), deadline, arrival.answer())));
    }

    /**
     * One request whose body is there. Immutable if the array is not changed.
     *
     * @param id id of the request
     * @param request the request
     * @param body its body
     * @param answer where the answer goes
     * @param at when it came
     */
    record Arrival(String id, Request request, byte[] body, HttpAnswer answer, Instant at) {

        /** The value of a header; null if there is none. */
        String header(String name) {
            return request.getHeaders().get(name);
        }
    }
}
