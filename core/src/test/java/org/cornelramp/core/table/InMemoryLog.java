package org.cornelramp.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/** A log in memory with retention, and the table after each of its records. */
final class InMemoryLog {
    final List<LoggedRecord> records = new ArrayList<>();
    final List<FoldedTable> tables = new ArrayList<>(List.of(FoldedTable.empty()));
    long oldest;

    static RowKey key(int row) {
        return new RowKey(new OrganisationId("o" + row), new ServiceName("s"));
    }

    static RowValues values(int weight) {
        return new RowValues(weight, 0, 0, 0, 0, 1_000, 99.0, List.of());
    }

    long next() {
        return records.size();
    }

    LogBounds bounds() {
        return new LogBounds(oldest, next());
    }

    FoldedTable table() {
        return tables.get(tables.size() - 1);
    }

    void append(JsonNode value, long at) {
        records.add(new LoggedRecord(next(), at, value));
        tables.add(TableFold.apply(table(), table().offset(), value).table());
    }

    void edit(int row, int weight) {
        TableEdit edit = new TableEdit(
                "e" + next(), key(row), table().version(key(row)), Optional.of(values(weight)), "operator");
        append(TableRecords.writeEdit(edit), next());
    }

    /** Appends a snapshot of the table as it was some records ago. */
    void snapshot(int recordsAgo) {
        FoldedTable old = tables.get(Math.max(0, tables.size() - 1 - recordsAgo));
        append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(old.offset(), TableSnapshotCodec.write(old)), "e1"),
                next());
    }

    void truncate(int count) {
        oldest = Math.min(next(), oldest + count);
    }

    /** Reads one page, as a process does. */
    TableReadState read(TableReadState state, int maxRecords) {
        long from = state.readFrom();
        if (from < oldest) {
            return state.onRecordsGone(bounds());
        }
        int end = (int) Math.min(next(), from + maxRecords);
        return state.onPage(bounds(), from >= end ? List.of() : records.subList((int) from, end));
    }

    /** Whether a process that starts now finds a usable snapshot or needs none. */
    boolean isReadable() {
        return oldest == 0
                || records.subList((int) oldest, records.size()).stream()
                        .flatMap(record -> TableRecords.readSnapshot(record.value()).stream())
                        .anyMatch(snapshot -> snapshot.coveredOffset() >= oldest);
    }
}
