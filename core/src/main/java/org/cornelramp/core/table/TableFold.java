package org.cornelramp.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;

/**
 * Folds the records of the log into the table, one at a time.
 *
 * <p>Deterministic: the result for a record depends only on the table before it and on the record itself, never on the
 * time, the process or its settings. So all readers agree without coordination, and of two concurrent edits of a row
 * every reader accepts the same one and rejects the other. Stateless, safe for use by any thread.
 */
public final class TableFold {
    private TableFold() {}

    /**
     * Applies the record at the table's own offset.
     *
     * @param table the table before the record
     * @param offset offset of the record; must equal that of the table
     * @param record the record as read from the log
     */
    public static FoldResult apply(FoldedTable table, long offset, JsonNode record) {
        if (offset != table.offset()) {
            throw new IllegalArgumentException("Records must be folded in log order without gaps");
        }
        FoldedTable next = table.atOffset(offset + 1);
        Optional<TableEdit> edit = TableRecords.readEdit(record);
        if (edit.isEmpty()) {
            return new FoldResult(
                    next,
                    new RecordOutcome(
                            RecordOutcome.Kind.IGNORED, FoldedTable.NO_VERSION, "The record is not an edit."));
        }
        return findRejection(table, edit.get())
                .map(rejection -> new FoldResult(next, rejection))
                .orElseGet(() -> accept(table, next, offset, edit.get()));
    }

    /**
     * Why an edit would be rejected as the next record; empty if it would be accepted. The result may differ from that
     * of the fold if the table is behind the log.
     */
    public static Optional<RecordOutcome> findRejection(FoldedTable table, TableEdit edit) {
        long version = table.version(edit.key());
        if (edit.baseVersion() != version) {
            return Optional.of(
                    new RecordOutcome(RecordOutcome.Kind.LOST_RACE, version, lostRaceDetail(table, edit, version)));
        }
        List<ColumnFault> faults = edit.values().map(RowChecks::validate).orElse(List.of());
        if (!faults.isEmpty()) {
            return Optional.of(new RecordOutcome(
                    RecordOutcome.Kind.OUT_OF_RANGE, version, faults.get(0).toString()));
        }
        return edit.values()
                .flatMap(values -> ownerOfTakenKey(table, edit.key().organisation(), values))
                .map(owner -> new RecordOutcome(
                        RecordOutcome.Kind.KEY_TAKEN,
                        version,
                        "A caller key of this row already belongs to organisation " + owner
                                + "; give each organisation its own keys."));
    }

    /** The other organisation that owns a key of the row; a shared key would let one act on behalf of the other. */
    private static Optional<OrganisationId> ownerOfTakenKey(
            FoldedTable table, OrganisationId organisation, RowValues values) {
        return values.callerKeyHashes().stream()
                .flatMap(hash -> table.organisationOf(hash).stream())
                .filter(owner -> !owner.equals(organisation))
                .findFirst();
    }

    private static String lostRaceDetail(FoldedTable table, TableEdit edit, long version) {
        String state = table.row(edit.key()).isPresent() ? "is at version " : "was deleted at version ";
        String description = version == FoldedTable.NO_VERSION ? "does not exist" : state + version;
        return "The edit was made against version " + edit.baseVersion() + " and the row " + description
                + "; read the row again and edit that.";
    }

    private static FoldResult accept(FoldedTable table, FoldedTable next, long offset, TableEdit edit) {
        RecordOutcome outcome = new RecordOutcome(RecordOutcome.Kind.ACCEPTED, offset, "");
        if (edit.values().isPresent()) {
            return new FoldResult(
                    next.with(new Row(edit.key(), offset, edit.values().get())), outcome);
        }
        boolean exists = table.row(edit.key()).isPresent();
        return exists
                ? new FoldResult(next.withDeletion(edit.key(), offset), outcome)
                : new FoldResult(
                        next,
                        new RecordOutcome(
                                RecordOutcome.Kind.IGNORED,
                                table.version(edit.key()),
                                "The row to delete does not exist."));
    }
}
