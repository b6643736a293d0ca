package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/**
 * A writer with a fault appends a snapshot of records that are not there yet, or one that differs from the fold of
 * the records before it. A process that starts afterwards must not take the first, and one that follows the log
 * must notice the second; both go on with the fold.
 */
public class ForgedSnapshotTest {

    private static void append(LogModel log, long covers, FoldedTable table) {
        log.append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(covers, TableSnapshotCodec.write(table)), "e1"),
                log.next());
    }

    @Test
    public void oneThatCoversTheFutureIsNotTaken() {
        LogModel log = new LogModel();
        log.edit(0, 1);
        append(log, 50, FoldedTable.empty().at(50));
        log.oldest = 1;
        TableReading reading = log.read(log.read(TableReading.start(), 9), 9);
        assertEquals(reading.phase(), TableReading.Phase.STUCK);
        assertEquals(reading.table(), FoldedTable.empty());
    }

    @Test
    public void oneThatDiffersFromTheFoldIsCounted() {
        LogModel log = new LogModel();
        log.edit(0, 1);
        append(log, 1, FoldedTable.empty().at(1));
        TableReading reading = TableReading.start().onPage(log.bounds(), log.records);
        assertEquals(reading.divergences(), 1);
        assertEquals(reading.table(), log.table());
    }

    @Test
    public void bytesThatAreNoSnapshotChangeNothing() {
        LogModel log = new LogModel();
        log.append(TableRecords.writeSnapshot(new TableRecords.SnapshotRecord(0, new byte[] {1, 2}), "e1"), log.next());
        log.oldest = 1;
        log.edit(0, 1);
        TableReading reading = TableReading.start().onGone(log.bounds());
        assertEquals(
                reading.onPage(log.bounds(), List.copyOf(log.records.subList(1, 2)))
                        .phase(),
                TableReading.Phase.STUCK);
    }
}
