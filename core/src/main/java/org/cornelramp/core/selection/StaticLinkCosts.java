package org.cornelramp.core.selection;

import java.time.Duration;
import java.util.Map;
import org.cornelramp.core.model.DataCentre;

/**
 * Link costs that are configured rather than measured. Immutable, safe for use by any thread.
 *
 * @param withinDataCentre one-way time inside a data centre
 * @param betweenDataCentres one-way time between data centres that {@code pairs} does not list
 * @param pairs one-way times of single pairs; a pair listed in one direction holds for both
 */
public record StaticLinkCosts(Duration withinDataCentre, Duration betweenDataCentres, Map<Pair, Duration> pairs)
        implements LinkCosts {
    /** 0.5 ms between data centres, 0.1 ms within one. */
    public static final StaticLinkCosts DEFAULTS =
            new StaticLinkCosts(Duration.ofNanos(100_000), Duration.ofNanos(500_000), Map.of());

    public StaticLinkCosts {
        if (withinDataCentre.isNegative() || betweenDataCentres.isNegative()) {
            throw new IllegalArgumentException("A link cost must not be negative");
        }
        pairs = Map.copyOf(pairs);
    }

    @Override
    public Duration oneWay(DataCentre from, DataCentre to) {
        if (from.equals(to)) {
            return withinDataCentre;
        }
        if (pairs.isEmpty()) {
            return betweenDataCentres;
        }
        Duration listed = pairs.get(new Pair(from, to));
        return listed != null ? listed : pairs.getOrDefault(new Pair(to, from), betweenDataCentres);
    }

    /** Two data centres joined by a link. Immutable, safe for use by any thread. */
    public record Pair(DataCentre from, DataCentre to) {}
}
