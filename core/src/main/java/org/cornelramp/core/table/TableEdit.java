package org.cornelramp.core.table;

import java.util.Optional;

/**
 * An operator's edit of one row, which is one record on the log. Immutable, safe for use by any thread.
 *
 * @param id identifies this edit, so that its author finds it on the log after a lost answer
 * @param key the row
 * @param baseVersion version of the row that the edit is based on; {@link FoldedTable#NO_VERSION} if it never existed
 * @param values the new columns; empty to delete the row
 * @param author author of the edit
 */
public record TableEdit(String id, RowKey key, long baseVersion, Optional<RowValues> values, String author) {}
