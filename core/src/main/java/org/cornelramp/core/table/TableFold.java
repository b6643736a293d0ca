package org.cornelramp.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;

/**
 * Folds the records of the log into the table, one after the other.
 *
 * <p>Pure: the verdict on a record follows from the table before it and the record alone, never from the time, the
 * process or its settings. So all readers agree without talking to each other, and two operators who race get one
 * acceptance and one rejection everywhere. Safe for use by any thread.
 */
public final class TableFold {
    private TableFold() {}

    /**
     * Applies the record at the table's own offset.
     *
     * @param table the table before the record
     * @param offset offset of the record; must be the table's
     * @param record the record as it is on the log
     */
    public static Folded apply(FoldedTable table, long offset, JsonNode record) {
        if (offset != table.offset()) {
            throw new IllegalArgumentException("Records are folded in log order without gaps");
        }
        FoldedTable next = table.at(offset + 1);
        Optional<TableEdit> edit = TableRecords.readEdit(record);
        if (edit.isEmpty()) {
            return new Folded(next, new Verdict(Verdict.Kind.IGNORED, FoldedTable.NO_VERSION, "It is no edit."));
        }
        return judge(table, edit.get())
                .map(rejection -> new Folded(next, rejection))
                .orElseGet(() -> accept(table, next, offset, edit.get()));
    }

    /**
     * Why an edit would be rejected as the next record; empty if it would be accepted. A table that is behind the log
     * may give another answer than the log will.
     */
    public static Optional<Verdict> judge(FoldedTable table, TableEdit edit) {
        long version = table.version(edit.key());
        if (edit.against() != version) {
            return Optional.of(new Verdict(Verdict.Kind.LOST_RACE, version, lostRace(table, edit, version)));
        }
        List<ColumnFault> faults = edit.values().map(RowChecks::check).orElse(List.of());
        if (!faults.isEmpty()) {
            return Optional.of(new Verdict(
                    Verdict.Kind.OUT_OF_RANGE, version, faults.get(0).toString()));
        }
        return edit.values()
                .flatMap(values -> takenKey(table, edit.key().organisation(), values))
                .map(owner -> new Verdict(
                        Verdict.Kind.KEY_TAKEN,
                        version,
                        "A caller key of this row already belongs to organisation " + owner
                                + "; give each organisation its own keys."));
    }

    /** A key listed by two organisations would let one act in the name of the other. */
    private static Optional<OrganisationId> takenKey(FoldedTable table, OrganisationId organisation, RowValues values) {
        return values.callerKeyHashes().stream()
                .flatMap(hash -> table.organisationOf(hash).stream())
                .filter(owner -> !owner.equals(organisation))
                .findFirst();
    }

    private static String lostRace(FoldedTable table, TableEdit edit, long version) {
        String state = table.row(edit.key()).isPresent() ? "is at version " : "was deleted at version ";
        String is = version == FoldedTable.NO_VERSION ? "does not exist" : state + version;
        return "The edit was made against version " + edit.against() + " and the row " + is
                + "; read the row again and edit that.";
    }

    private static Folded accept(FoldedTable table, FoldedTable next, long offset, TableEdit edit) {
        Verdict verdict = new Verdict(Verdict.Kind.ACCEPTED, offset, "");
        if (edit.values().isPresent()) {
            return new Folded(
                    next.with(new Row(edit.key(), offset, edit.values().get())), verdict);
        }
        boolean isThere = table.row(edit.key()).isPresent();
        return isThere
                ? new Folded(next.withDeletion(edit.key(), offset), verdict)
                : new Folded(
                        next,
                        new Verdict(
                                Verdict.Kind.IGNORED, table.version(edit.key()), "There is no such row to delete."));
    }
}
