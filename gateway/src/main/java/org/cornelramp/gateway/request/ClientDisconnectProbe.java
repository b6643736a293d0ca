package org.cornelramp.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Looks whether a client has closed its connection while its request is under way.
 *
 * <p>The server does not read from a connection whose request it has read whole, so it would learn of a client that
 * left only from a failed write; an engine would go on reading a prompt for nobody. The probe reads without blocking.
 * Bytes that a client sends ahead are handed to the connection, which reads them as its next request.
 *
 * <p>Safe for use by any thread. Invariant: nothing is read after {@link #stop}, when the connection itself reads.
 */
final class ClientProbe {
    /** Least time between two looks; a client that left must be noticed within half a second. */
    static final long INTERVAL_MILLIS = 150;

    private static final int BYTES = 1_024;

    private final EndPoint endPoint;
    private final Connection connection;
    private boolean stopped;
    private boolean closed;
    private String seen = "";
    private long nextMillis;

    private ClientProbe(EndPoint endPoint, Connection connection) {
        this.endPoint = endPoint;
        this.connection = connection;
    }

    /** A probe of the request's connection. */
    static ClientProbe of(Request request) {
        Connection connection = request.getConnectionMetaData().getConnection();
        return new ClientProbe(connection.getEndPoint(), connection);
    }

    /** Whether the client has closed its connection, as far as a look at most so often shows. */
    synchronized boolean hasClosed(long nowMillis) {
        if (stopped || closed || nowMillis < nextMillis) {
            return closed;
        }
        nextMillis = nowMillis + INTERVAL_MILLIS;
        try {
            ByteBuffer ahead = BufferUtil.allocate(BYTES);
            int read = endPoint.fill(ahead);
            if (read < 0) {
                sawClosed("end of input");
            }
            if (read > 0 && connection instanceof Connection.UpgradeTo next) {
                next.onUpgradeTo(ahead);
                stopped = true;
            }
        } catch (IOException e) {
            sawClosed(e.toString()); // a reset says the same as a close
        }
        return closed;
    }

    private void sawClosed(String what) {
        closed = true;
        seen = what;
    }

    /** What showed that the client has closed its connection; empty while it has not. */
    synchronized String seen() {
        return seen;
    }

    /** Ends the looking. */
    synchronized void stop() {
        stopped = true;
    }
}
