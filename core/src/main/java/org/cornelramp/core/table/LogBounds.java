package org.cornelramp.core.table;

/**
 * The range of records of the table stream that the log retains. Immutable, safe for use by any thread.
 *
 * @param oldest offset of the oldest record that is retained
 * @param next offset after the newest record
 */
public record LogBounds(long oldest, long next) {}
