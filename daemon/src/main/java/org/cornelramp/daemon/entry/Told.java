package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * What this entry's heartbeats tell beyond its state: a copy that the router renews at an interval.
 *
 * <p>{@link #news} is safe for use by any thread; the rest is confined to the router's.
 */
final class Told {
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final Admission admission;
    private final Poison poison;
    private volatile News news = new News(List.of(), List.of(), Map.of());
    private Instant nextAt = Instant.MIN;

    /** Immutable. */
    record News(List<String> setAside, List<String> suspects, Map<String, Double> demand) {}

    Told(Admission admission, Poison poison) {
        this.admission = admission;
        this.poison = poison;
    }

    News news() {
        return news;
    }

    void tick(Instant now) {
        if (!now.isBefore(nextAt)) {
            news = new News(poison.marks(now), poison.suspects(now), admission.demand(now));
            nextAt = now.plus(INTERVAL);
        }
    }
}
