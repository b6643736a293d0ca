package org.cornelramp.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cornelramp.core.model.BackendServerId;

/**
 * Servers that have closed the connection of a running request, until it is known whether they still work. Paths avoid
 * them where another path exists.
 *
 * <p>A server that crashes breaks all its streams at once, before any probe shows that it is gone. Their retries would
 * otherwise take the best path again with the same server as a later engine, where the loss is noticed only after the
 * work has stalled. Owned by one thread.
 */
public final class DoubtfulServers {
    /**
     * Time after which a server is used again although neither a sign of life nor its loss was seen, in milliseconds. A
     * probe of an overloaded process takes up to half of it.
     */
    private static final long MAX_MILLIS = 1_000;

    private final Map<BackendServerId, Long> untilMillis = new HashMap<>();

    /** Records that a server has closed the connection of a running request; whether it was not doubtful before. */
    public boolean recordBreak(BackendServerId id, long nowMillis) {
        untilMillis.values().removeIf(until -> nowMillis >= until);
        return untilMillis.put(id, nowMillis + MAX_MILLIS) == null;
    }

    /** Records that a server works. */
    public void recordSignOfLife(BackendServerId id) {
        untilMillis.remove(id);
    }

    /** Whether it is not known whether the server still works. */
    public boolean isDoubtful(BackendServerId id, long nowMillis) {
        return nowMillis < untilMillis.getOrDefault(id, Long.MIN_VALUE);
    }

    /** Those of the servers that are not doubtful. */
    public List<BackendServer> without(Collection<BackendServer> servers, long nowMillis) {
        return servers.stream()
                .filter(server -> !isDoubtful(server.id(), nowMillis))
                .toList();
    }

    /**
     * Searches among the servers that are not doubtful, and among all of them only if nothing is found without the
     * doubtful ones.
     */
    public <T> Optional<T> searchWithout(
            List<BackendServer> servers, Function<List<BackendServer>, Optional<T>> search, long nowMillis) {
        List<BackendServer> certain = without(servers, nowMillis);
        Optional<T> found = search.apply(certain);
        return found.isPresent() || certain.size() == servers.size() ? found : search.apply(servers);
    }
}
