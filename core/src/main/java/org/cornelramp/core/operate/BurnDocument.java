package org.cornelramp.core.operate;

import java.util.List;
import org.cornelramp.core.burn.BurnRow;

/**
 * Counts of the requests that ended at one entry, for burn rates. Immutable, safe for use by any thread.
 *
 * @param entry the entry
 * @param since when counting began, in milliseconds since 1970; windows that start earlier count from then on
 * @param uncounted requests of rows that exceed the capacity of the counters
 * @param rows the counts of each row
 */
public record BurnDocument(String entry, long since, long uncounted, List<BurnRow> rows) {}
