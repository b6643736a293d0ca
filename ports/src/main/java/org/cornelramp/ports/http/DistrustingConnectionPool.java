package org.cornelramp.ports.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Closes connections opened before the latest timeout instead of using them again.
 *
 * <p>When something between the two ends loses track of open connections, all of them go silent at once while new
 * ones work. The call on one times out; without this pool each later call would pick the next silent connection
 * and lose its own timeout too. Dropping all older ones is enough, since every connection opened later is tracked
 * anew. Safe for use by any thread.
 */
final class DistrustingConnectionPool extends DuplexConnectionPool {
    private final Map<Connection, Long> openedAt = new ConcurrentHashMap<>();
    private volatile long distrustedUntil = System.nanoTime();

    DistrustingConnectionPool(Destination destination, int maxConnections) {
        super(destination, maxConnections);
    }

    /** Uses none of the connections that are open now again. */
    void distrustOpen() {
        distrustedUntil = System.nanoTime();
    }

    @Override
    protected void onCreated(Connection connection) {
        openedAt.put(connection, System.nanoTime());
        super.onCreated(connection);
    }

    @Override
    protected Connection activate() {
        Connection connection = super.activate();
        while (connection != null && isDistrusted(connection)) {
            connection.close();
            connection = super.activate();
        }
        return connection;
    }

    @Override
    protected void onRemoved(Connection connection) {
        openedAt.remove(connection);
        super.onRemoved(connection);
    }

    private boolean isDistrusted(Connection connection) {
        Long opened = openedAt.get(connection);
        return opened != null && opened - distrustedUntil <= 0;
    }
}
