package org.cornelramp.core.retry;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * Limits the number of backend servers on which one request may run. Stateless, safe for use by any thread.
 *
 * <p>A stream that breaks off is restarted on another engine. Without a limit, a stream that always breaks off, or a
 * request that crashes its engine, would run on every engine of the fleet. Servers that are no longer registered do
 * not count: the run there ended with the server, and the failure of a whole rack must not use up the attempts of a
 * stream. A server that is only suspected to be dead counts: on a link that loses packets live engines look dead, and
 * streams ran on three servers where two were allowed.
 */
public final class RequestServerLimit {
    private RequestServerLimit() {}

    /**
     * Returns the servers that may take the request. The empty set stands for any server and is returned while fewer
     * than {@code limit} registered servers have run the request; after that only those servers may take it again.
     *
     * @param used servers that may have run the request
     * @param isRegistered whether a server is still registered
     * @param limit most servers on which the route lets a request run
     */
    public static Set<BackendServerId> allowedServers(
            Set<BackendServerId> used, Predicate<BackendServerId> isRegistered, int limit) {
        Set<BackendServerId> registered = new HashSet<>(used);
        registered.removeIf(isRegistered.negate());
        return registered.size() < limit ? Set.of() : registered;
    }
}
