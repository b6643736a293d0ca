package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Guards against invalid snapshots of a faulty writer: one that claims to cover records that do not exist yet, which a
 * new process must not load, and one that differs from the fold of the records before it, which readers must count. In
 * both cases reading continues with the fold.
 */
public class InvalidSnapshotTest {

    private static void append(InMemoryLog log, long coveredOffset, FoldedTable table) {
        log.append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(coveredOffset, TableSnapshotCodec.write(table)), "e1"),
                log.next());
    }

    @Test
    public void snapshotOfLaterRecordsIsRejected() {
        InMemoryLog log = new InMemoryLog();
        log.edit(0, 1);
        append(log, 50, FoldedTable.empty().atOffset(50));
        log.oldest = 1;
        TableReadState state = log.read(log.read(TableReadState.start(), 9), 9);
        assertEquals(state.phase(), TableReadState.Phase.STUCK);
        assertEquals(state.table(), FoldedTable.empty());
    }

    @Test
    public void snapshotThatDiffersFromTheFoldIsCounted() {
        InMemoryLog log = new InMemoryLog();
        log.edit(0, 1);
        append(log, 1, FoldedTable.empty().atOffset(1));
        TableReadState state = TableReadState.start().onPage(log.bounds(), log.records);
        assertEquals(state.divergentSnapshots(), 1);
        assertEquals(state.table(), log.table());
    }

    @Test
    public void malformedSnapshotIsIgnored() {
        InMemoryLog log = new InMemoryLog();
        log.append(TableRecords.writeSnapshot(new TableRecords.SnapshotRecord(0, new byte[] {1, 2}), "e1"), log.next());
        log.oldest = 1;
        log.edit(0, 1);
        TableReadState state = TableReadState.start().onRecordsGone(log.bounds());
        assertEquals(
                state.onPage(log.bounds(), List.copyOf(log.records.subList(1, 2)))
                        .phase(),
                TableReadState.Phase.STUCK);
    }
}
