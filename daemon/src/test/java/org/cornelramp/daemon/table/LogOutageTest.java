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
 * The log goes down. An entry that has a table keeps it in force. An entry that starts now has none: it says that
 * it is not ready, takes a peer's table once it is sent one, and is ready. When the log is back, it goes on from
 * there, and its own fold of the whole log must be the peer's table.
 */
public class LogOutageTest {

    @Test
    public void aFreshEntryStartsFromItsPeersTableAndGoesOnWithTheLog() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry old = new TestEntry(log, "e1").start();
                TestEntry fresh = new TestEntry(log, "e2")) {
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("a", -1, 7))))
                    .get();
            FoldedTable before = old.tableAt(1);
            log.setReadable(false);
            fresh.start();
            fresh.awaitTrouble();
            assertFalse(fresh.keeper.isReady());
            assertTrue(fresh.keeper.takeSnapshot(before.offset(), old.keeper.snapshotAbove(0)));
            assertTrue(fresh.keeper.isReady());
            assertEquals(fresh.keeper.folded(), before);
            assertEquals(old.keeper.folded(), before);
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("b", 0, 8))))
                    .get();
            log.setReadable(true);
            assertEquals(fresh.tableAt(2), old.tableAt(2));
            assertEquals(
                    fresh.keeper
                            .folded()
                            .row(TestEntry.KEY)
                            .orElseThrow()
                            .values()
                            .weight(),
                    8);
            assertEquals(fresh.meters.counter("cornelramp.table.divergences").count(), 0.0);
        }
    }

    @Test
    public void anOlderTableOfAPeerIsNotTaken() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry entry = new TestEntry(log, "e1").start()) {
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("a", -1, 7))))
                    .get();
            byte[] older = peerTable(entry.tableAt(1));
            log.append(LogStream.TABLE, List.of(TableRecords.writeEdit(TestEntry.edit("b", 0, 8))))
                    .get();
            entry.tableAt(2);
            assertFalse(entry.keeper.takeSnapshot(1, older));
            // A peer that names a higher offset than its bytes hold must not bring an older state back either.
            assertFalse(entry.keeper.takeSnapshot(9, older));
            assertEquals(entry.keeper.folded().offset(), 2);
        }
    }

    private static byte[] peerTable(FoldedTable table) {
        TableKeeper peer = new TableKeeper();
        peer.take(table);
        return peer.snapshot();
    }
}
