package org.cornelramp.daemon.http;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Refuses requests whose length is above the bound, such that their callers hear it (see {@link RefusedBody}). The server's own
 * limit closes the connection at once; it stays behind this one for bodies that tell no length. Stateless, safe for use by
 * any thread.
 */
final class BodyLengthLimit extends Handler.Wrapper {
    private final long mostBytes;

    /** @param mostBytes longest body that is passed on */
    BodyLengthLimit(long mostBytes, Handler next) {
        super(next);
        this.mostBytes = mostBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (request.getLength() <= mostBytes) {
            return super.handle(request, response, callback);
        }
        RefusedBody.drop(
                request, () -> Response.writeError(request, response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413));
        return true;
    }
}
