package org.cornelramp.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Detects that a client has closed its connection while its request is in progress.
 *
 * <p>The server does not read from a connection whose request it has read completely, so without the probe only a
 * failed write would show that the client has disconnected; an engine would go on processing a prompt whose result
 * nobody reads. The probe reads without blocking. Bytes of a pipelined request are handed to the connection, which
 * reads them as its next request.
 *
 * <p>Safe for use by any thread. Invariant: nothing is read after {@link #stop}, because the connection itself reads
 * from then on.
 */
final class ClientDisconnectProbe {
    /** Minimum time between two reads; a disconnected client must be detected within half a second. */
    static final long INTERVAL_MILLIS = 150;

    private static final int READ_BYTES = 1_024;

    private final EndPoint endPoint;
    private final Connection connection;
    private boolean stopped;
    private boolean closed;
    private String closeReason = "";
    private long nextReadMillis;

    private ClientDisconnectProbe(EndPoint endPoint, Connection connection) {
        this.endPoint = endPoint;
        this.connection = connection;
    }

    /** Creates a probe of the request's connection. */
    static ClientDisconnectProbe of(Request request) {
        Connection connection = request.getConnectionMetaData().getConnection();
        return new ClientDisconnectProbe(connection.getEndPoint(), connection);
    }

    /** Whether the client has closed its connection; reads at most once per {@link #INTERVAL_MILLIS}. */
    synchronized boolean hasClosed(long nowMillis) {
        if (stopped || closed || nowMillis < nextReadMillis) {
            return closed;
        }
        nextReadMillis = nowMillis + INTERVAL_MILLIS;
        try {
            ByteBuffer pipelined = BufferUtil.allocate(READ_BYTES);
            int read = endPoint.fill(pipelined);
            if (read < 0) {
                markClosed("end of input");
            }
            if (read > 0 && connection instanceof Connection.UpgradeTo upgradable) {
                upgradable.onUpgradeTo(pipelined);
                stopped = true;
            }
        } catch (IOException e) {
            markClosed(e.toString()); // a reset means a closed connection as well
        }
        return closed;
    }

    private void markClosed(String reason) {
        closed = true;
        closeReason = reason;
    }

    /** How the close of the connection was detected; empty while the connection is open. */
    synchronized String closeReason() {
        return closeReason;
    }

    /** Stops probing for good. */
    synchronized void stop() {
        stopped = true;
    }
}
