package org.cornelramp.core.operate;

import java.util.List;
import org.cornelramp.core.burn.BurnRow;

/**
 * The requests that ended at one entry. Immutable, safe for use by any thread.
 *
 * @param entry the entry
 * @param since when it began to count, in milliseconds since 1970; a longer window counts only from then on
 * @param uncounted requests of rows beyond those that it has room for
 * @param rows the counts of each row
 */
public record BurnDocument(String entry, long since, long uncounted, List<BurnRow> rows) {}
