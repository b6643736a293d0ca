package org.cornelramp.core.operate;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.LoggedRecord;
import org.cornelramp.core.table.RowHistory;
import org.cornelramp.core.table.TableEdit;

/**
 * Determines the result of an edit from the records read back from the log, never from the reply to an append, which may
 * be lost.
 *
 * <p>Stateless, safe for use by any thread.
 */
public final class EditResultResolver {
    private EditResultResolver() {}

    /**
     * Returns the result of an edit.
     *
     * @param table the table in force
     * @param edit the edit
     * @param since all records that the log held since before the edit was first appended, up to the table's offset
     */
    public static EditResult resolve(FoldedTable table, TableEdit edit, List<LoggedRecord> since) {
        RowHistory history = RowHistory.of(table, edit.key(), since);
        Optional<RowHistory.LoggedEdit> found = history.find(edit.id());
        if (found.isEmpty()) {
            return unknown(table, edit, Optional.empty());
        }
        long offset = found.get().offset();
        return history.isAccepted(offset)
                ? accepted(table, edit, offset)
                : rejected(table, edit, Optional.of(offset), conflictDetail(table, edit, history));
    }

    /** Returns the result of an edit that was not appended, as it was made against a version no longer in force. */
    public static EditResult staleVersion(FoldedTable table, TableEdit edit, List<LoggedRecord> since) {
        return rejected(
                table, edit, Optional.empty(), conflictDetail(table, edit, RowHistory.of(table, edit.key(), since)));
    }

    /** Returns the result of an edit that is in force, with the offset of its record. */
    public static EditResult accepted(FoldedTable table, TableEdit edit, long offset) {
        RowDocument own = new RowDocument(edit.key().organisation(), edit.key().service(), offset, edit.values());
        return new EditResult(EditResult.Kind.ACCEPTED, edit.id(), own, Optional.of(offset), "");
    }

    /** Returns the result of an edit that changed nothing and never will. */
    public static EditResult rejected(FoldedTable table, TableEdit edit, Optional<Long> offset, String detail) {
        return new EditResult(EditResult.Kind.REJECTED, edit.id(), RowDocument.of(table, edit.key()), offset, detail);
    }

    /** Returns the result of an edit that may be on the log, but could not be read back. */
    public static EditResult unknown(FoldedTable table, TableEdit edit, Optional<Long> offset) {
        return new EditResult(
                EditResult.Kind.UNKNOWN,
                edit.id(),
                RowDocument.of(table, edit.key()),
                offset,
                "The log could not be read back; once it can be, the row's history shows whether edit " + edit.id()
                        + " was accepted. Editing against the same version again is harmless.");
    }

    private static String conflictDetail(FoldedTable table, TableEdit edit, RowHistory history) {
        String winner = history.acceptedEditWithBase(edit.baseVersion())
                .map(entry -> "the edit at offset " + entry.offset() + " by "
                        + entry.edit().author() + " came first")
                .orElse("the row is at version " + table.version(edit.key()));
        return "The edit was made against version " + edit.baseVersion() + ", and " + winner
                + "; read the row again and edit that.";
    }
}
