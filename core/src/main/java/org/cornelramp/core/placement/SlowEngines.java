package org.cornelramp.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;

/**
 * The engines that have been slow for some time, with hysteresis. Owned by one thread.
 *
 * <p>Invariant: each listed engine has been reported slow over at least {@link #CONFIRM_MILLIS}, the last time within
 * {@link #KEEP_MILLIS}, and has not been reported below {@link #RECOVERED_FACTOR} meanwhile.
 */
public final class SlowEngines {
    private static final double SLOW_FACTOR = 2;
    private static final double RECOVERED_FACTOR = 1.4;

    /** Longer than the 4 s for which one report counts, so that a single one does not cause a load. */
    static final long CONFIRM_MILLIS = 6_000;

    /** A slow engine is avoided and reported less often, so a missing report does not mean that it has recovered. */
    static final long KEEP_MILLIS = 10_000;

    private final Map<BackendServerId, Long> slowSinceMillis = new HashMap<>();
    private final Map<BackendServerId, Long> lastSlowMillis = new HashMap<>();

    /**
     * Records the present slowdowns and returns the slow engines.
     *
     * @param slowdowns how many times longer than usual engines take; those without a recent report are not listed
     */
    public Set<BackendServerId> update(Map<BackendServerId, Double> slowdowns, long nowMillis) {
        slowdowns.forEach((id, factor) -> {
            if (factor >= SLOW_FACTOR) {
                slowSinceMillis.putIfAbsent(id, nowMillis);
            }
            if (factor < RECOVERED_FACTOR) {
                slowSinceMillis.remove(id);
            } else {
                lastSlowMillis.put(id, nowMillis);
            }
        });
        lastSlowMillis.values().removeIf(last -> nowMillis - last > KEEP_MILLIS);
        slowSinceMillis.keySet().retainAll(lastSlowMillis.keySet());
        Set<BackendServerId> slow = new HashSet<>();
        slowSinceMillis.forEach((id, since) -> {
            if (lastSlowMillis.get(id) - since >= CONFIRM_MILLIS) {
                slow.add(id);
            }
        });
        return slow;
    }
}
