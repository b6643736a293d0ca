package org.cornelramp.daemon.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.TableRecords;
import org.cornelramp.core.table.TableSnapshotCodec;
import org.cornelramp.ports.LogStream;
import org.testng.annotations.Test;

/**
 * The log forgets the first edits. A fresh entry finds no record from offset 0 on: it starts from the snapshot on
 * the log, though a writer that was paused has added an older one behind it, and folds what came after. Without a
 * snapshot it says why it is not ready instead of serving a table with rows missing.
 */
public class RetentionTest {

    private static void edit(MemoryLog log, String id, long against, int weight) throws Exception {
        log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit(id, against, weight))))
                .get();
    }

    private static void snapshot(MemoryLog log, FoldedTable table) throws Exception {
        TableRecords.SnapshotRecord record =
                new TableRecords.SnapshotRecord(table.offset(), TableSnapshotCodec.write(table));
        log.append(LogStream.TABLE, List.of(TableRecords.writeSnapshot(record, "e1")))
                .get();
    }

    @Test
    public void aFreshEntryStartsFromTheNewestSnapshotAndNotFromAStaleOne() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry old = new TestEntry(log, "e1").start();
                TestEntry fresh = new TestEntry(log, "e2")) {
            edit(log, "a", -1, 1);
            FoldedTable stale = old.tableAt(1);
            edit(log, "b", 0, 2);
            snapshot(log, old.tableAt(2));
            snapshot(log, stale);
            edit(log, "c", 1, 3);
            log.forgetBelow(2);
            fresh.start();
            assertEquals(fresh.tableAt(5), old.tableAt(5));
            assertEquals(
                    fresh.keeper
                            .folded()
                            .row(TestEntry.KEY)
                            .orElseThrow()
                            .values()
                            .weight(),
                    3);
        }
    }

    @Test
    public void withoutASnapshotAFreshEntryIsNotReadyAndSaysWhy() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry fresh = new TestEntry(log, "e2")) {
            edit(log, "a", -1, 1);
            edit(log, "b", 0, 2);
            log.forgetBelow(1);
            fresh.start();
            assertEquals(
                    fresh.awaitTrouble(),
                    "the log lacks records from 0 on and holds no snapshot of them; a peer with a newer table helps");
            assertFalse(fresh.keeper.isReady());
        }
    }
}
