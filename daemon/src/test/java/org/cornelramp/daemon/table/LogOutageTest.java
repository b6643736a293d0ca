package org.cornelramp.daemon.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.TableRecords;
import org.cornelramp.ports.LogStream;
import org.testng.annotations.Test;

/**
 * Guards the table while the log is unavailable. An entry with a table keeps it in force. A new entry is not ready
 * until a peer sends its table. When the log is available again, the new entry resumes from the offset of that table,
 * and its own fold of the log must equal the peer's table.
 */
public class LogOutageTest {

    @Test
    public void newEntryStartsFromPeerTableAndResumesFromLog() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry old = new TestEntry(log, "e1").start();
                TestEntry newEntry = new TestEntry(log, "e2")) {
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("a", -1, 7))))
                    .get();
            FoldedTable before = old.tableAt(1);
            log.setReadable(false);
            newEntry.start();
            newEntry.awaitLogFault();
            assertFalse(newEntry.keeper.isReady());
            assertTrue(newEntry.keeper.applySnapshot(before.offset(), old.keeper.snapshotAbove(0)));
            assertTrue(newEntry.keeper.isReady());
            assertEquals(newEntry.keeper.folded(), before);
            assertEquals(old.keeper.folded(), before);
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("b", 0, 8))))
                    .get();
            log.setReadable(true);
            assertEquals(newEntry.tableAt(2), old.tableAt(2));
            assertEquals(
                    newEntry.keeper
                            .folded()
                            .row(TestEntry.KEY)
                            .orElseThrow()
                            .values()
                            .weight(),
                    8);
            assertEquals(newEntry.meters.counter("cornelramp.table.divergences").count(), 0.0);
        }
    }

    @Test
    public void olderPeerTableIsRejected() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry entry = new TestEntry(log, "e1").start()) {
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("a", -1, 7))))
                    .get();
            byte[] older = peerTable(entry.tableAt(1));
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("b", 0, 8))))
                    .get();
            entry.tableAt(2);
            assertFalse(entry.keeper.applySnapshot(1, older));
            // A peer that announces a higher offset than its snapshot has must not restore an older state either.
            assertFalse(entry.keeper.applySnapshot(9, older));
            assertEquals(entry.keeper.folded().offset(), 2);
        }
    }

    private static byte[] peerTable(FoldedTable table) {
        TableKeeper peer = new TableKeeper();
        peer.replaceIfNewer(table);
        return peer.snapshot();
    }
}
