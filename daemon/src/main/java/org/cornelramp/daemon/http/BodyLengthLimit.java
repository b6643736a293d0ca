package org.cornelramp.daemon.http;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Refuses requests whose declared length is above the limit, and first reads and discards their bodies, so that the
 * callers receive the refusal (see {@link RefusedBodyDrain}). The server's own limit closes the connection at once; it
 * remains in place behind this handler for bodies without a declared length. Stateless, safe for use by any thread.
 */
final class BodyLengthLimit extends Handler.Wrapper {
    private final long maxBytes;

    /** @param maxBytes longest body that is passed to the next handler */
    BodyLengthLimit(long maxBytes, Handler next) {
        super(next);
        this.maxBytes = maxBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (request.getLength() <= maxBytes) {
            return super.handle(request, response, callback);
        }
        RefusedBodyDrain.discard(
                request, () -> Response.writeError(request, response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413));
        return true;
    }
}
