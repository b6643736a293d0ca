package org.cornelramp.gateway.request;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * The clients' requests whose response has not been written completely. A planned shutdown waits for them: the router
 * knows only of those that have been read completely and not been answered yet. Safe for use by any thread. Invariant: a
 * request that is unclaimed is open.
 */
final class OpenRequests {
    private final Set<OpenRequest> open = ConcurrentHashMap.newKeySet();
    private final Set<OpenRequest> unclaimed = ConcurrentHashMap.newKeySet();

    /**
     * A request from the arrival of its head until its response has been written. Safe for use by any thread. Invariant:
     * only one caller claims it, and only that one answers it or hands it to the router.
     */
    final class OpenRequest {
        private final Request request;
        private final Response response;
        private final Callback callback;
        private final AtomicBoolean claimed = new AtomicBoolean();

        private OpenRequest(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = Callback.from(callback, () -> open.remove(this));
        }

        Request request() {
            return request;
        }

        Response response() {
            return response;
        }

        /** Completed when the response has been written, or can't be. */
        Callback callback() {
            return callback;
        }

        /** Whether the caller is the one that answers the request or hands it to the router. */
        boolean claim() {
            unclaimed.remove(this);
            return claimed.compareAndSet(false, true);
        }
    }

    /** Registers a request whose head has arrived. */
    OpenRequest open(Request request, Response response, Callback callback) {
        OpenRequest opened = new OpenRequest(request, response, callback);
        open.add(opened);
        unclaimed.add(opened);
        return opened;
    }

    /** Number of requests whose response has not been written completely. */
    int count() {
        return open.size();
    }

    /** The requests that nobody has claimed, as they are delayed or their body is being read. */
    List<OpenRequest> unclaimed() {
        return List.copyOf(unclaimed);
    }
}
