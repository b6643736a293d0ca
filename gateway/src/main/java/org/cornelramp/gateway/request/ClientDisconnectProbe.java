package org.cornelramp.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Detects that a client has closed its connection while its request is in progress.
 *
 * <p>The server does not read from a connection whose request it has read completely, so without the probe only a
 * failed write would show that the client has disconnected; an engine would go on processing a prompt whose result
 * nobody reads. The probe reads without blocking. It keeps the bytes of pipelined requests until it is stopped, and
 * then hands them to the connection, which reads them as its next requests.
 *
 * <p>Safe for use by any thread. Invariants: nothing is read after {@link #stop}, because the connection itself reads
 * from then on; no more bytes are kept than the connection's buffer holds. A probe that keeps so many reads no further
 * and detects no close.
 */
final class ClientDisconnectProbe {
    /** Minimum time between two reads; a disconnected client must be detected within half a second. */
    static final long INTERVAL_MILLIS = 150;

    private static final int READ_BYTES = 1_024;
    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

    private final EndPoint endPoint;
    private final Connection connection;
    private final int capacity;
    private ByteBuffer pipelined;
    private boolean stopped;
    private boolean closed;
    private String closeReason = "";
    private long nextReadMillis;

    ClientDisconnectProbe(EndPoint endPoint, Connection connection) {
        this.endPoint = endPoint;
        this.connection = connection;
        this.capacity = connection instanceof AbstractConnection sized ? sized.getInputBufferSize() : 0;
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
            if (pipelined == null) {
                pipelined = takeUnparsedBytes();
            }
            if (fill() < 0) {
                markClosed("end of input");
            }
        } catch (IOException e) {
            markClosed(e.toString()); // a reset means a closed connection as well
        }
        return closed;
    }

    /**
     * Takes the bytes that the connection has read beyond the request in progress. They share its buffer with those
     * that the probe hands over, and the connection drops silently what does not fit.
     */
    private ByteBuffer takeUnparsedBytes() {
        ByteBuffer unparsed = connection instanceof Connection.UpgradeFrom source ? source.onUpgradeFrom() : null;
        return unparsed == null ? NO_BYTES : unparsed;
    }

    /** Reads until no more bytes are there, the input has ended or no more are kept; negative for the end of input. */
    private int fill() throws IOException {
        int read = 1;
        while (read > 0 && pipelined.remaining() < capacity) {
            ByteBuffer bytes = BufferUtil.allocate(Math.min(READ_BYTES, capacity - pipelined.remaining()));
            read = endPoint.fill(bytes);
            if (read > 0) {
                pipelined = ByteBuffer.allocate(pipelined.remaining() + read)
                        .put(pipelined)
                        .put(bytes)
                        .flip();
            }
        }
        return read;
    }

    private void markClosed(String reason) {
        closed = true;
        closeReason = reason;
    }

    /** How the close of the connection was detected; empty while the connection is open. */
    synchronized String closeReason() {
        return closeReason;
    }

    /** Stops probing for good; the connection of a client that has not closed it gets the bytes that were read. */
    synchronized void stop() {
        boolean hasBytes = pipelined != null && pipelined.hasRemaining();
        if (!stopped && !closed && hasBytes && connection instanceof Connection.UpgradeTo target) {
            target.onUpgradeTo(pipelined);
        }
        stopped = true;
    }
}
