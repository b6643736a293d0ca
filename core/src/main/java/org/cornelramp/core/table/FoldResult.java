package org.cornelramp.core.table;

/**
 * The result of folding one record. Immutable, safe for use by any thread.
 *
 * @param table the table after the record
 * @param outcome whether the record was applied, and why not
 */
public record FoldResult(FoldedTable table, RecordOutcome outcome) {}
