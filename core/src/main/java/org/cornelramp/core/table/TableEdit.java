package org.cornelramp.core.table;

import java.util.Optional;

/**
 * An operator's edit of one row, as a record on the log. Immutable, safe for use by any thread.
 *
 * @param id names this edit, by which its author finds it again after a lost answer
 * @param key the row
 * @param against version that the edit was made against; {@link FoldedTable#NO_VERSION} for a row that never was
 * @param values the new columns; empty to delete the row
 * @param by who made the edit
 */
public record TableEdit(String id, RowKey key, long against, Optional<RowValues> values, String by) {}
