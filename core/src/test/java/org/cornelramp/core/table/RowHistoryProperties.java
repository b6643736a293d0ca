package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** The history accepts exactly the edits that the fold accepted, whichever part of the log is retained. */
public class RowHistoryProperties {

    /** An edit based on the log some records back; its caller key, if any, may belong to another organisation. */
    record EditDraft(int row, int recordsBehind, boolean deletes, boolean withCallerKey) {}

    @Provide
    Arbitrary<List<EditDraft>> drafts() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(true, false, false),
                        Arbitraries.of(true, false))
                .as(EditDraft::new)
                .list()
                .ofMaxSize(40);
    }

    private static TableEdit edit(InMemoryLog log, EditDraft draft) {
        FoldedTable seen = log.tables.get(Math.max(0, log.tables.size() - 1 - draft.recordsBehind()));
        RowKey key = InMemoryLog.key(draft.row());
        List<String> keys = draft.withCallerKey() ? List.of("a".repeat(64)) : List.of();
        Optional<RowValues> values =
                draft.deletes() ? Optional.empty() : Optional.of(new RowValues(1, 0, 0, 0, 0, 1_000, 99, keys));
        return new TableEdit("e" + log.next(), key, seen.version(key), values, "operator");
    }

    @Property(seed = "31", tries = 500)
    void historyAcceptsTheSameEditsAsTheFold(@ForAll("drafts") List<EditDraft> drafts, @ForAll int firstRetained) {
        InMemoryLog log = new InMemoryLog();
        drafts.forEach(draft -> log.append(TableRecords.writeEdit(edit(log, draft)), log.next()));
        int from = Math.floorMod(firstRetained, log.records.size() + 1);
        List<LoggedRecord> retained = log.records.subList(from, log.records.size());
        for (LoggedRecord record : retained) {
            RowKey key = TableRecords.readEdit(record.value()).orElseThrow().key();
            RowHistory history = RowHistory.of(log.table(), key, retained);
            RecordOutcome outcome = TableFold.apply(
                            log.tables.get((int) record.offset()), record.offset(), record.value())
                    .outcome();
            assertEquals(history.isAccepted(record.offset()), outcome.isAccepted());
        }
    }

    @Property(seed = "32", tries = 200)
    void editAppendedTwiceIsAppliedOnce(@ForAll("drafts") List<EditDraft> drafts, @ForAll int pick) {
        InMemoryLog log = new InMemoryLog();
        drafts.forEach(draft -> log.append(TableRecords.writeEdit(edit(log, draft)), log.next()));
        log.edit(5, 1);
        LoggedRecord first = log.records.get(Math.floorMod(pick, log.records.size()));
        TableEdit edit = TableRecords.readEdit(first.value()).orElseThrow();
        FoldedTable before = log.table();
        log.append(first.value(), log.next());
        boolean wasAccepted = TableFold.apply(log.tables.get((int) first.offset()), first.offset(), first.value())
                .outcome()
                .isAccepted();
        RowHistory history = RowHistory.of(log.table(), edit.key(), log.records);
        if (wasAccepted) {
            assertEquals(history.find(edit.id()).orElseThrow().offset(), first.offset());
            assertEquals(log.table(), before.atOffset(log.next()));
        }
    }
}
