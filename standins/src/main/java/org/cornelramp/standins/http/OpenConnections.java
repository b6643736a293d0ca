package org.cornelramp.standins.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;

/**
 * Tracks open connections and which of them never answer again: those that were open when {@code go-silent} was set.
 * Safe for use by any thread.
 */
final class OpenConnections implements Connection.Listener {
    private final Map<Connection, Boolean> silentByConnection = new ConcurrentHashMap<>();

    @Override
    public void onOpened(Connection connection) {
        silentByConnection.put(connection, false);
    }

    @Override
    public void onClosed(Connection connection) {
        silentByConnection.remove(connection);
    }

    void silenceAll() {
        silentByConnection.replaceAll((connection, silent) -> true);
    }

    boolean isSilent(Connection connection) {
        return silentByConnection.getOrDefault(connection, false);
    }
}
