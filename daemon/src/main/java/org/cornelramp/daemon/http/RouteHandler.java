package org.cornelramp.daemon.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Optional;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Dispatches each request to the handler of its route. Safe for use by any thread. */
final class RouteHandler extends Handler.Abstract {
    private final Routes routes;
    private final Counter unrouted;

    RouteHandler(Routes routes, MeterRegistry meters) {
        this.routes = routes;
        this.unrouted = meters.counter("cornelramp.http.unrouted");
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        // The idle timeout must not end a request that waits for its answer; stalled reads and writes still time out.
        request.addIdleTimeoutListener(timeout -> false);
        Optional<Handler> handler = routes.find(request.getMethod(), Request.getPathInContext(request));
        if (handler.isPresent() && handler.get().handle(request, response, callback)) {
            return true;
        }
        unrouted.increment();
        ProblemWriter.write(
                response, callback, Problem.notRun(ProblemKind.NOT_FOUND, "No route matches this method and path."));
        return true;
    }
}
