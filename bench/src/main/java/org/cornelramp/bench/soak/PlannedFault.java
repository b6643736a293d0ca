package org.cornelramp.bench.soak;

import java.util.Locale;

/**
 * One fault of a schedule. Immutable, safe for use by any thread.
 *
 * @param kind kind of the fault
 * @param targetIndex index of the affected member among those of its target; 0 for a platform service or the table
 * @param startMillis start, in milliseconds from the start of the load
 * @param durationMillis duration in milliseconds
 */
public record PlannedFault(FaultKind kind, int targetIndex, long startMillis, long durationMillis) {

    /** End, in milliseconds from the start of the load. */
    public long endMillis() {
        return startMillis + durationMillis;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "at=%dms lasts=%dms fault=%s member=%d",
                startMillis,
                durationMillis,
                kind.text(),
                targetIndex);
    }
}
