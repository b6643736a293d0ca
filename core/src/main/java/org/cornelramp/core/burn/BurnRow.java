package org.cornelramp.core.burn;

import java.util.EnumMap;
import java.util.Map;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Counts of the requests of one row that ended at one entry, or at several after {@link #plus}. Immutable, safe for use
 * by any thread.
 *
 * @param organisation the organisation
 * @param service the service
 * @param objectivePercent percentage of requests that should be answered in time, from the table
 * @param windows the counts of each window
 */
public record BurnRow(
        OrganisationId organisation,
        ServiceName service,
        double objectivePercent,
        Map<BurnWindow, BurnCounts> windows) {

    public BurnRow {
        windows = Map.copyOf(windows);
    }

    /** The counts of a window; {@link BurnCounts#NONE} if it has none. */
    public BurnCounts counts(BurnWindow window) {
        return windows.getOrDefault(window, BurnCounts.NONE);
    }

    /** The burn rate of a window. */
    public double rate(BurnWindow window) {
        return counts(window).burnRate(objectivePercent);
    }

    /** The alert level for the burn rates of all windows. */
    public BurnAlert alert() {
        Map<BurnWindow, Double> rates = new EnumMap<>(BurnWindow.class);
        for (BurnWindow window : BurnWindow.values()) {
            rates.put(window, rate(window));
        }
        return BurnAlert.of(rates);
    }

    /** The sum with the counts of the same row at other entries. */
    public BurnRow plus(BurnRow other) {
        Map<BurnWindow, BurnCounts> sums = new EnumMap<>(BurnWindow.class);
        for (BurnWindow window : BurnWindow.values()) {
            sums.put(window, counts(window).plus(other.counts(window)));
        }
        return new BurnRow(organisation, service, objectivePercent, sums);
    }
}
