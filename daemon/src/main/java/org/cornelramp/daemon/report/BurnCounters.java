package org.cornelramp.daemon.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelramp.core.burn.BurnCounts;
import org.cornelramp.core.burn.BurnMeter;
import org.cornelramp.core.burn.BurnRow;
import org.cornelramp.core.burn.BurnWindow;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.Table;

/**
 * Counts finished requests, good and bad, for each row of the table, as input to the burn rate of its error budget.
 *
 * <p>Safe for use by any thread. Invariant: at most {@value #MAX_ROWS} rows are counted, at about half a kilobyte each;
 * of the requests of further rows only the total number is kept.
 */
public final class BurnCounters {
    /** Above the number of rows of 4,800 organisations with 7 services each. */
    static final int MAX_ROWS = 40_000;

    /** Objective in percent that is reported for a row that is no longer in the table. */
    private static final double DEFAULT_OBJECTIVE_PERCENT = 99;

    private final Map<RowKey, BurnMeter> meters = new ConcurrentHashMap<>();
    private final AtomicLong uncounted = new AtomicLong();

    void ended(RowKey row, boolean bad, Instant now) {
        BurnMeter meter = meters.get(row);
        if (meter == null && meters.size() >= MAX_ROWS) {
            uncounted.incrementAndGet();
            return;
        }
        meters.computeIfAbsent(row, key -> new BurnMeter()).add(bad, now);
    }

    /** Returns the number of requests that are not counted because the limit on rows was reached. */
    public long uncounted() {
        return uncounted.get();
    }

    /** Returns the counts of all rows that had a request in the longest window. */
    public List<BurnRow> rows(Table table, Instant now) {
        List<BurnRow> rows = new ArrayList<>();
        meters.forEach((key, meter) -> {
            Map<BurnWindow, BurnCounts> windows = new EnumMap<>(BurnWindow.class);
            for (BurnWindow window : BurnWindow.values()) {
                windows.put(window, meter.counts(window, now));
            }
            if (windows.get(BurnWindow.THREE_DAYS).total() > 0) {
                rows.add(new BurnRow(key.organisation(), key.service(), objective(table, key), windows));
            }
        });
        return rows;
    }

    private static double objective(Table table, RowKey key) {
        return table.row(key)
                .map(Row::values)
                .map(values -> values.objectivePercent())
                .orElse(DEFAULT_OBJECTIVE_PERCENT);
    }
}
