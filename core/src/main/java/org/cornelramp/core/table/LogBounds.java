package org.cornelramp.core.table;

/**
 * What the log keeps of the table stream. Immutable, safe for use by any thread.
 *
 * @param oldest offset of the oldest record that is kept
 * @param next offset after the newest record
 */
public record LogBounds(long oldest, long next) {}
