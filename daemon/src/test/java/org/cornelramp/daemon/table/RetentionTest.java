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
 * Guards against a table with missing rows after retention has deleted the first edits from the log. A new entry starts
 * from the newest snapshot on the log, even if a delayed writer has appended an older one after it, and folds the
 * records after that. Without a snapshot the entry is not ready and gives the reason.
 */
public class RetentionTest {

    private static void edit(MemoryLog log, String id, long baseVersion, int weight) throws Exception {
        log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit(id, baseVersion, weight))))
                .get();
    }

    private static void snapshot(MemoryLog log, FoldedTable table) throws Exception {
        TableRecords.SnapshotRecord record =
                new TableRecords.SnapshotRecord(table.offset(), TableSnapshotCodec.write(table));
        log.append(LogStream.TABLE, List.of(TableRecords.writeSnapshot(record, "e1")))
                .get();
    }

    @Test
    public void newEntryStartsFromNewestSnapshot() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry old = new TestEntry(log, "e1").start();
                TestEntry newEntry = new TestEntry(log, "e2")) {
            edit(log, "a", -1, 1);
            FoldedTable stale = old.tableAt(1);
            edit(log, "b", 0, 2);
            snapshot(log, old.tableAt(2));
            snapshot(log, stale);
            edit(log, "c", 1, 3);
            log.forgetBelow(2);
            newEntry.start();
            assertEquals(newEntry.tableAt(5), old.tableAt(5));
            assertEquals(
                    newEntry.keeper
                            .folded()
                            .row(TestEntry.KEY)
                            .orElseThrow()
                            .values()
                            .weight(),
                    3);
        }
    }

    @Test
    public void newEntryWithoutSnapshotIsNotReady() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry newEntry = new TestEntry(log, "e2")) {
            edit(log, "a", -1, 1);
            edit(log, "b", 0, 2);
            log.forgetBelow(1);
            newEntry.start();
            assertEquals(
                    newEntry.awaitLogFault(),
                    "the log no longer holds the records from 0 on and has no snapshot that covers them; a peer with a newer table can supply them");
            assertFalse(newEntry.keeper.isReady());
        }
    }
}
