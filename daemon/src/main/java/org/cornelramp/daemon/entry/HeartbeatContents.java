package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * What this entry's heartbeats carry beyond its state. The router refreshes the snapshot at an interval.
 *
 * <p>{@link #snapshot} is safe for use by any thread; everything else is confined to the router's thread.
 */
final class HeartbeatContents {
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final Admission admission;
    private final PoisonTracker poisonTracker;
    private volatile Snapshot snapshot = new Snapshot(List.of(), List.of(), Map.of());
    private Instant nextAt = Instant.MIN;

    /** Requests set aside, suspects of recent crashes, and demand for each limited row. Immutable. */
    record Snapshot(List<String> setAside, List<String> suspects, Map<String, Double> demand) {}

    HeartbeatContents(Admission admission, PoisonTracker poisonTracker) {
        this.admission = admission;
        this.poisonTracker = poisonTracker;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    void tick(Instant now) {
        if (!now.isBefore(nextAt)) {
            snapshot = new Snapshot(poisonTracker.marks(now), poisonTracker.suspects(now), admission.demand(now));
            nextAt = now.plus(INTERVAL);
        }
    }
}
