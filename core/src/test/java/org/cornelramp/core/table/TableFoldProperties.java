package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/** For any records in any order, all readers compute the same table, and the first edit of a version is accepted. */
public class TableFoldProperties {
    private static final int ROWS = 3;

    /** An edit based on the log as it was some records back. */
    record EditDraft(int row, int recordsBehind, boolean deletes, int weight, boolean garbage) {}

    @Provide
    Arbitrary<List<EditDraft>> drafts() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, ROWS - 1),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.of(true, false, false),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.of(true, false, false, false))
                .as(EditDraft::new)
                .list()
                .ofMaxSize(30);
    }

    private static RowKey key(int row) {
        return new RowKey(new OrganisationId("o" + row), new ServiceName("s"));
    }

    private static RowValues values(int weight) {
        return new RowValues(weight, 0, 0, 0, 0, 1_000, 99.0, List.of());
    }

    /** Converts drafts to records, each based on the table that its author read. */
    private static List<JsonNode> records(List<EditDraft> drafts) {
        List<JsonNode> records = new ArrayList<>();
        List<FoldedTable> states = new ArrayList<>(List.of(FoldedTable.empty()));
        for (EditDraft draft : drafts) {
            FoldedTable seen = states.get(Math.max(0, states.size() - 1 - draft.recordsBehind()));
            RowKey key = key(draft.row());
            Optional<RowValues> values = draft.deletes() ? Optional.empty() : Optional.of(values(draft.weight()));
            JsonNode record = draft.garbage()
                    ? TextNode.valueOf("garbage")
                    : TableRecords.writeEdit(
                            new TableEdit("e" + records.size(), key, seen.version(key), values, "operator"));
            FoldedTable last = states.get(states.size() - 1);
            states.add(TableFold.apply(last, last.offset(), record).table());
            records.add(record);
        }
        return records;
    }

    private static FoldedTable fold(FoldedTable from, List<JsonNode> records) {
        FoldedTable table = from;
        while (table.offset() < records.size()) {
            table = TableFold.apply(table, table.offset(), records.get((int) table.offset()))
                    .table();
        }
        return table;
    }

    @Property(seed = "17", tries = 300)
    void atMostOneEditOfEachBaseVersionIsAccepted(@ForAll("drafts") List<EditDraft> drafts) {
        Map<String, Integer> accepted = new HashMap<>();
        FoldedTable table = FoldedTable.empty();
        for (JsonNode record : records(drafts)) {
            FoldResult result = TableFold.apply(table, table.offset(), record);
            if (result.outcome().isAccepted()) {
                TableEdit edit = TableRecords.readEdit(record).orElseThrow();
                assertEquals(edit.baseVersion(), table.version(edit.key()));
                accepted.merge(edit.key() + "@" + edit.baseVersion(), 1, Integer::sum);
                assertEquals(result.table().version(edit.key()), table.offset());
            } else {
                assertEquals(result.table(), table.atOffset(table.offset() + 1));
            }
            table = result.table();
        }
        assertTrue(accepted.values().stream().allMatch(count -> count == 1), accepted.toString());
    }

    @Property(seed = "18", tries = 300)
    void snapshotAtAnyOffsetLeadsToTheSameTable(@ForAll("drafts") List<EditDraft> drafts, @ForAll int cut) {
        List<JsonNode> records = records(drafts);
        int at = Math.floorMod(cut, records.size() + 1);
        FoldedTable part = fold(FoldedTable.empty(), records.subList(0, at));
        FoldedTable read = TableSnapshotCodec.read(FoldedTable.empty(), TableSnapshotCodec.write(part))
                .get();
        assertEquals(read, part);
        assertEquals(fold(read, records), fold(FoldedTable.empty(), records));
    }

    @Property(seed = "19", tries = 300)
    void changeSetLeadsToTheSameTableFromAnyLaterBase(
            @ForAll("drafts") List<EditDraft> drafts, @ForAll int cutA, @ForAll int cutB) {
        List<JsonNode> records = records(drafts);
        int above = Math.floorMod(cutA, records.size() + 1);
        int base = above + Math.floorMod(cutB, records.size() + 1 - above);
        FoldedTable whole = fold(FoldedTable.empty(), records);
        FoldedTable part = fold(FoldedTable.empty(), records.subList(0, base));
        assertEquals(
                TableSnapshotCodec.read(part, TableSnapshotCodec.writeChangesSince(whole, above))
                        .get(),
                whole);
    }

    @Property(seed = "20", tries = 300)
    void editOfStaleBaseVersionChangesNoRow(@ForAll("drafts") List<EditDraft> drafts, @ForAll long baseVersion) {
        FoldedTable table = fold(FoldedTable.empty(), records(drafts));
        RowKey key = key(0);
        long stale = baseVersion == table.version(key) ? baseVersion + 1 : baseVersion;
        JsonNode record = TableRecords.writeEdit(new TableEdit("late", key, stale, Optional.of(values(9)), "operator"));
        FoldResult result = TableFold.apply(table, table.offset(), record);
        assertEquals(result.outcome().kind(), RecordOutcome.Kind.LOST_RACE);
        assertEquals(result.table(), table.atOffset(table.offset() + 1));
    }
}
