package org.cornelramp.core.operate;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.table.RowValues;

/**
 * The edits of one row that the log still keeps. Immutable, safe for use by any thread.
 *
 * @param row the row in force
 * @param oldest offset of the oldest record that the log keeps; older edits are not shown
 * @param edits the edits, oldest first
 */
public record HistoryDocument(RowDocument row, long oldest, List<HistoryEdit> edits) {

    /**
     * One edit on the log.
     *
     * @param offset offset of its record
     * @param at when the log took it, in milliseconds since 1970
     * @param id its id
     * @param by the operator who made it
     * @param against version that it was made against
     * @param accepted whether it came into force
     * @param values the columns; empty for a deletion
     */
    public record HistoryEdit(
            long offset, long at, String id, String by, long against, boolean accepted, Optional<RowValues> values) {}
}
