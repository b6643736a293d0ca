package org.cornelramp.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * The backend servers that have turned a request of this gateway away and asked it not to send any for a time. A rest is
 * asked of one gateway, so peers do not hear of it. Owned by one thread.
 *
 * <p>Invariant: a rest ends by time only; what is kept by the id of an incarnation does not hold for the next one.
 */
public final class RestingServers {
    /**
     * Longest rest that is kept, in milliseconds. Bounds the memory for servers that are gone, and how long a mistaken
     * value excludes a server.
     */
    private static final long MAX_REST_MILLIS = 600_000;

    private final Map<BackendServerId, Long> untilMillis = new HashMap<>();

    /**
     * Records that a server asks for rest. A shorter rest does not end an earlier one that lasts longer.
     *
     * @return whether the server was not resting
     */
    public boolean recordRest(BackendServerId server, long restMillis, long nowMillis) {
        boolean rested = isResting(server, nowMillis);
        long until = nowMillis + Math.min(MAX_REST_MILLIS, restMillis);
        untilMillis.merge(server, until, Math::max);
        return !rested && until > nowMillis;
    }

    /** Whether a server has asked for rest until a later time. */
    public boolean isResting(BackendServerId server, long nowMillis) {
        return millisUntilEnd(server, nowMillis) > 0;
    }

    /** Time until the rest of a server ends, in milliseconds; 0 if it has not asked for any. */
    public long millisUntilEnd(BackendServerId server, long nowMillis) {
        return Math.max(0, untilMillis.getOrDefault(server, nowMillis) - nowMillis);
    }

    /** The servers that rest now. */
    public List<BackendServerId> resting(long nowMillis) {
        return untilMillis.keySet().stream()
                .filter(server -> isResting(server, nowMillis))
                .toList();
    }

    /** Removes and returns the servers whose rest has ended. */
    public List<BackendServerId> removeRested(long nowMillis) {
        List<BackendServerId> rested = untilMillis.keySet().stream()
                .filter(server -> !isResting(server, nowMillis))
                .toList();
        rested.forEach(untilMillis::remove);
        return rested;
    }
}
