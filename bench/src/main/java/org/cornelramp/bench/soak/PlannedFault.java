package org.cornelramp.bench.soak;

import java.util.Locale;

/**
 * One fault of a schedule. Immutable, safe for use by any thread.
 *
 * @param kind what happens
 * @param member index of the member that it strikes, among those of its target; 0 for the platform
 * @param atMillis begin, from the start of the load
 * @param lastsMillis time until it ends
 */
public record PlannedFault(FaultKind kind, int member, long atMillis, long lastsMillis) {

    /** When it ends, from the start of the load. */
    public long endMillis() {
        return atMillis + lastsMillis;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "at=%dms lasts=%dms fault=%s member=%d", atMillis, lastsMillis, kind.text(), member);
    }
}
