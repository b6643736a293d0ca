package org.cornelramp.core.route;

import java.time.Duration;
import java.util.Map;
import org.cornelramp.core.model.DataCentre;

/**
 * Link costs that are stated rather than measured. Immutable, safe for use by any thread.
 *
 * @param within one-way time inside a data centre
 * @param between one-way time between data centres that {@code pairs} does not list
 * @param pairs one-way times of single pairs; a pair listed in one direction holds for both
 */
public record StaticLinkCosts(Duration within, Duration between, Map<Pair, Duration> pairs) implements LinkCosts {
    /** Half a millisecond between data centres, a tenth of one within. */
    public static final StaticLinkCosts DEFAULTS =
            new StaticLinkCosts(Duration.ofNanos(100_000), Duration.ofNanos(500_000), Map.of());

    public StaticLinkCosts {
        if (within.isNegative() || between.isNegative()) {
            throw new IllegalArgumentException("A link cost is not negative");
        }
        pairs = Map.copyOf(pairs);
    }

    @Override
    public Duration oneWay(DataCentre from, DataCentre to) {
        if (from.equals(to)) {
            return within;
        }
        if (pairs.isEmpty()) {
            return between;
        }
        Duration listed = pairs.get(new Pair(from, to));
        return listed != null ? listed : pairs.getOrDefault(new Pair(to, from), between);
    }

    /** Two data centres joined by a link. Immutable, safe for use by any thread. */
    public record Pair(DataCentre from, DataCentre to) {}
}
