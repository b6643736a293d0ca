package org.cornelramp.core.burn;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelramp.core.table.RowKey;

/**
 * The burn rates of all rows over all entries that answered. Immutable, safe for use by any thread.
 *
 * @param rows the rows, most urgent first
 */
public record BurnReport(List<BurnRow> rows) {

    public BurnReport {
        rows = List.copyOf(rows);
    }

    /** Adds up the counts of the entries; each request ends at one entry, so none is counted twice. */
    public static BurnReport merge(Collection<List<BurnRow>> entries) {
        Map<RowKey, BurnRow> sums = new TreeMap<>();
        for (List<BurnRow> rows : entries) {
            rows.forEach(row -> sums.merge(new RowKey(row.organisation(), row.service()), row, BurnRow::plus));
        }
        Comparator<BurnRow> byAlert = Comparator.comparing(BurnRow::alert);
        Comparator<BurnRow> byRate = Comparator.comparingDouble(row -> -row.rate(BurnWindow.HOUR));
        return new BurnReport(
                sums.values().stream().sorted(byAlert.thenComparing(byRate)).toList());
    }
}
