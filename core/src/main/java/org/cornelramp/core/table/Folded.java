package org.cornelramp.core.table;

/**
 * The result of folding one record. Immutable, safe for use by any thread.
 *
 * @param table the table after the record
 * @param verdict what was decided on the record
 */
public record Folded(FoldedTable table, Verdict verdict) {}
