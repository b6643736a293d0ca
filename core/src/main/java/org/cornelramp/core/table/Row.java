package org.cornelramp.core.table;

/**
 * One row of the table. Immutable, safe for use by any thread.
 *
 * @param key organisation and service
 * @param version offset of the log record that set the row
 * @param values the columns
 */
public record Row(RowKey key, long version, RowValues values) {}
