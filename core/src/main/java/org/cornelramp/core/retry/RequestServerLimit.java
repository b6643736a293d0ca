package org.cornelramp.core.retry;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * Keeps one request from running on more backend servers than its route allows. Stateless, safe for use by any thread.
 *
 * <p>A stream that breaks off is started anew on another engine. Without a limit, one that always breaks, or a request
 * that makes its engine crash, would visit the whole fleet. Servers that have gone meanwhile do not count: what ran
 * there has ended with them, and a rack that fails under a stream must not use up its attempts. One that is only suspected
 * counts: a link that loses packets makes living engines look dead, and streams ran on three of two.
 */
public final class RequestServerLimit {
    private RequestServerLimit() {}

    /**
     * The servers that may take the request: all of them, given as the empty set, while fewer than {@code most} living
     * ones have run it; after that only those again.
     *
     * @param ran servers that may have run the request
     * @param alive whether a server is still registered
     * @param most servers on which the route lets a request run
     */
    public static Set<BackendServerId> allowedServers(
            Set<BackendServerId> ran, Predicate<BackendServerId> alive, int most) {
        Set<BackendServerId> living = new HashSet<>(ran);
        living.removeIf(alive.negate());
        return living.size() < most ? Set.of() : living;
    }
}
