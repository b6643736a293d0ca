package org.cornelramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * The backend server incarnations that have said themselves that they are shutting down. Owned by one thread.
 *
 * <p>Invariant: an incarnation that was added stays in the record as long as it is registered, and for
 * {@link #UNREGISTERED_VALID_MILLIS} in any case, since it may register again when the platform's store returns.
 */
final class AnnouncedShutdowns {
    /** Longer than a server serves on after its announcement. */
    static final long UNREGISTERED_VALID_MILLIS = 600_000;

    private final Map<BackendServerId, Long> announcedMillis = new HashMap<>();

    /**
     * Adds an incarnation, and drops those that ended long ago.
     *
     * @param isRegistered whether an incarnation is registered
     */
    void add(BackendServerId id, Predicate<BackendServerId> isRegistered, long nowMillis) {
        announcedMillis
                .entrySet()
                .removeIf(entry ->
                        nowMillis - entry.getValue() > UNREGISTERED_VALID_MILLIS && !isRegistered.test(entry.getKey()));
        announcedMillis.putIfAbsent(id, nowMillis);
    }

    boolean contains(BackendServerId id) {
        return announcedMillis.containsKey(id);
    }
}
