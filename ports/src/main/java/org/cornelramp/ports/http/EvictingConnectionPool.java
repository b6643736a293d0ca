package org.cornelramp.ports.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Closes connections that were opened before the latest timeout instead of reusing them.
 *
 * <p>When a middlebox loses its state of open connections, all of them stop carrying data at once while new ones work.
 * The call on one of them times out; without this pool each later call would reuse the next dead connection and time
 * out too. Closing all older connections is enough, since the middlebox tracks every connection opened later. Safe for
 * use by any thread.
 */
final class EvictingConnectionPool extends DuplexConnectionPool {
    private final Map<Connection, Long> openedAt = new ConcurrentHashMap<>();
    private volatile long evictedUntil = System.nanoTime();

    EvictingConnectionPool(Destination destination, int maxConnections) {
        super(destination, maxConnections);
    }

    /** Marks all connections that are open now so that they are not reused. */
    void evictOpenConnections() {
        evictedUntil = System.nanoTime();
    }

    @Override
    protected void onCreated(Connection connection) {
        openedAt.put(connection, System.nanoTime());
        super.onCreated(connection);
    }

    @Override
    protected Connection activate() {
        Connection connection = super.activate();
        while (connection != null && isEvicted(connection)) {
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

    private boolean isEvicted(Connection connection) {
        Long opened = openedAt.get(connection);
        return opened != null && opened - evictedUntil <= 0;
    }
}
