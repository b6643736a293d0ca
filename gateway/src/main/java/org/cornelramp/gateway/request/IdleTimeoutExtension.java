package org.cornelramp.gateway.request;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/**
 * Extends the idle timeout of a client's connection until the request's deadline.
 *
 * <p>A write to a client that reads slowly makes no progress while the client's window is full. When the idle timeout
 * expires, the server fails such a write, and the client would lose a response that it is still reading. Only the
 * deadline ends the response then. Reading the request is not affected, as the extension begins after it. Stateless.
 */
final class IdleTimeoutExtension {
    private IdleTimeoutExtension() {}

    /**
     * Extends the idle timeout until the response is complete. The last write begins before the deadline, so it may be
     * stalled for the ordinary timeout after it.
     *
     * @param untilDeadlineMillis time until the request's deadline, in milliseconds
     */
    static void begin(Request request, long untilDeadlineMillis) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        long ordinaryMillis = request.getConnectionMetaData().getConnector().getIdleTimeout();
        endPoint.setIdleTimeout(ordinaryMillis + Math.max(0, untilDeadlineMillis));
        Request.addCompletionListener(request, failure -> endPoint.setIdleTimeout(ordinaryMillis));
    }
}
