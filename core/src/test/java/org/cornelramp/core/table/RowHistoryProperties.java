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

/** The history names as accepted just what the fold accepted, whatever part of the log is left to read. */
public class RowHistoryProperties {

    /** An edit whose author saw the log some records back; with a key it may be one that another has. */
    record Draft(int row, int seen, boolean deletes, boolean withKey) {}

    @Provide
    Arbitrary<List<Draft>> drafts() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(true, false, false),
                        Arbitraries.of(true, false))
                .as(Draft::new)
                .list()
                .ofMaxSize(40);
    }

    private static TableEdit edit(LogModel log, Draft draft) {
        FoldedTable seen = log.tables.get(Math.max(0, log.tables.size() - 1 - draft.seen()));
        RowKey key = LogModel.key(draft.row());
        List<String> keys = draft.withKey() ? List.of("a".repeat(64)) : List.of();
        Optional<RowValues> values =
                draft.deletes() ? Optional.empty() : Optional.of(new RowValues(1, 0, 0, 0, 0, 1_000, 99, keys));
        return new TableEdit("e" + log.next(), key, seen.version(key), values, "operator");
    }

    @Property(seed = "31", tries = 500)
    void acceptedIsWhatTheFoldAccepted(@ForAll("drafts") List<Draft> drafts, @ForAll int cut) {
        LogModel log = new LogModel();
        drafts.forEach(draft -> log.append(TableRecords.writeEdit(edit(log, draft)), log.next()));
        int from = Math.floorMod(cut, log.records.size() + 1);
        List<LoggedRecord> kept = log.records.subList(from, log.records.size());
        for (LoggedRecord record : kept) {
            RowKey key = TableRecords.readEdit(record.value()).orElseThrow().key();
            RowHistory history = RowHistory.of(log.table(), key, kept);
            Verdict verdict = TableFold.apply(log.tables.get((int) record.offset()), record.offset(), record.value())
                    .verdict();
            assertEquals(history.isAccepted(record.offset()), verdict.isAccepted());
        }
    }

    @Property(seed = "32", tries = 200)
    void anEditAppendedTwiceCountsOnce(@ForAll("drafts") List<Draft> drafts, @ForAll int pick) {
        LogModel log = new LogModel();
        drafts.forEach(draft -> log.append(TableRecords.writeEdit(edit(log, draft)), log.next()));
        log.edit(5, 1);
        LoggedRecord first = log.records.get(Math.floorMod(pick, log.records.size()));
        TableEdit edit = TableRecords.readEdit(first.value()).orElseThrow();
        FoldedTable before = log.table();
        log.append(first.value(), log.next());
        boolean was = TableFold.apply(log.tables.get((int) first.offset()), first.offset(), first.value())
                .verdict()
                .isAccepted();
        RowHistory history = RowHistory.of(log.table(), edit.key(), log.records);
        if (was) {
            assertEquals(history.find(edit.id()).orElseThrow().offset(), first.offset());
            assertEquals(log.table(), before.at(log.next()));
        }
    }
}
