package org.cornelramp.core.table;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Progress of one process in reading the log's table stream: the next offset to read, and the table folded so far.
 *
 * <p>Reading follows the tail of the stream. When retention has removed records that were not read yet, it scans all
 * retained records for the snapshot that covers most, starts from that one and follows the tail again. Every snapshot
 * is the result of the same fold, so its writer and its age do not matter: one that covers less than what is already
 * folded is skipped, and the records after the chosen one are folded on top of it.
 *
 * <p>Has no side effects: each event returns a new state. Immutable, safe for use by any thread. Invariants: the
 * table's offset never decreases; no record at or above the table's offset has been folded.
 */
public final class TableReadState {
    private final Phase phase;
    private final FoldedTable table;
    private final LogBounds bounds;
    private final long scanOffset;
    private final long scanEnd;
    private final FoldedTable bestSnapshot;
    private final Optional<SnapshotPosition> newestSnapshot;
    private final Optional<Long> firstRecordMillis;
    private final int divergentSnapshots;

    /** Phases of reading. */
    public enum Phase {
        /** Folds the records from the table's offset onwards. */
        TAIL,
        /** Scans all retained records for the snapshot that covers most. */
        SCAN,
        /** The log no longer has records that were not read, and has no snapshot that covers them. */
        STUCK
    }

    private TableReadState(
            Phase phase,
            FoldedTable table,
            LogBounds bounds,
            long scanOffset,
            long scanEnd,
            FoldedTable bestSnapshot,
            Optional<SnapshotPosition> newestSnapshot,
            Optional<Long> firstAt,
            int divergences) {
        this.phase = phase;
        this.table = table;
        this.bounds = bounds;
        this.scanOffset = scanOffset;
        this.scanEnd = scanEnd;
        this.bestSnapshot = bestSnapshot;
        this.newestSnapshot = newestSnapshot;
        this.firstRecordMillis = firstAt;
        this.divergentSnapshots = divergences;
    }

    /** The state of a process that has just started. */
    public static TableReadState start() {
        FoldedTable empty = FoldedTable.empty();
        return new TableReadState(
                Phase.TAIL,
                empty,
                new LogBounds(0, Long.MAX_VALUE),
                0,
                0,
                empty,
                Optional.empty(),
                Optional.empty(),
                0);
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /** The table folded so far. */
    public FoldedTable table() {
        return table;
    }

    /** The range of records that the log last reported. */
    public LogBounds bounds() {
        return bounds;
    }

    /** The snapshot that covers most, among those read. */
    public Optional<SnapshotPosition> newestSnapshot() {
        return newestSnapshot;
    }

    /** Time at which the log appended the first record that was read, in milliseconds since 1970. */
    public Optional<Long> firstRecordMillis() {
        return firstRecordMillis;
    }

    /** Number of snapshots read that differ from the local fold of the same records; any above 0 indicates a bug. */
    public int divergentSnapshots() {
        return divergentSnapshots;
    }

    /** Offset of the next record to read. */
    public long readFrom() {
        return phase == Phase.SCAN ? scanOffset : table.offset();
    }

    /** Whether every record that the log reported is folded. */
    public boolean isAtEnd() {
        return phase == Phase.TAIL && table.offset() >= bounds.next();
    }

    /** Whether the log ends before the table's offset, as after the platform has restored an older state of the log. */
    public boolean isLogBehind() {
        return table.offset() > bounds.next();
    }

    /** Returns the state after records were read from {@link #readFrom}. */
    public TableReadState onPage(LogBounds newBounds, List<LoggedRecord> records) {
        return phase == Phase.SCAN ? scan(newBounds, records) : fold(newBounds, records);
    }

    /** Returns the state after the log has reported that it no longer retains the record at {@link #readFrom}. */
    public TableReadState onRecordsGone(LogBounds newBounds) {
        if (phase != Phase.SCAN && table.offset() >= newBounds.oldest()) {
            return this;
        }
        return new TableReadState(
                Phase.SCAN,
                table,
                newBounds,
                newBounds.oldest(),
                newBounds.next(),
                table,
                newestSnapshot,
                firstRecordMillis,
                divergentSnapshots);
    }

    /** Returns the state after a peer's table was received; it is used only while the reading is stuck. */
    public TableReadState onPeerTable(FoldedTable peer) {
        if (phase != Phase.STUCK || peer.offset() <= table.offset()) {
            return this;
        }
        return new TableReadState(
                Phase.TAIL, peer, bounds, 0, 0, peer, newestSnapshot, firstRecordMillis, divergentSnapshots);
    }

    private TableReadState fold(LogBounds newBounds, List<LoggedRecord> records) {
        FoldedTable folded = table;
        Optional<SnapshotPosition> position = newestSnapshot;
        int divergent = divergentSnapshots;
        for (LoggedRecord record : records) {
            if (record.offset() > folded.offset()) {
                return nextState(Phase.TAIL, folded, newBounds, position, records, divergent)
                        .onRecordsGone(newBounds);
            }
            if (record.offset() == folded.offset()) {
                divergent += isDivergent(record, folded) ? 1 : 0;
                position = newerPosition(position, positionOf(record));
                folded =
                        TableFold.apply(folded, record.offset(), record.value()).table();
            }
        }
        return nextState(Phase.TAIL, folded, newBounds, position, records, divergent);
    }

    private TableReadState scan(LogBounds newBounds, List<LoggedRecord> records) {
        FoldedTable bestFound = bestSnapshot;
        Optional<SnapshotPosition> position = newestSnapshot;
        long at = scanOffset;
        for (LoggedRecord record : records) {
            position = newerPosition(position, positionOf(record));
            bestFound = newerSnapshot(bestFound, record, newBounds);
            at = record.offset() + 1;
        }
        boolean scanComplete = at >= scanEnd || records.isEmpty();
        if (!scanComplete) {
            return new TableReadState(
                    Phase.SCAN,
                    table,
                    newBounds,
                    at,
                    scanEnd,
                    bestFound,
                    position,
                    firstRecordMillisAfter(records),
                    divergentSnapshots);
        }
        boolean usable = bestFound.offset() >= newBounds.oldest();
        return new TableReadState(
                usable ? Phase.TAIL : Phase.STUCK,
                usable ? bestFound : table,
                newBounds,
                0,
                0,
                FoldedTable.empty(),
                position,
                firstRecordMillisAfter(records),
                divergentSnapshots);
    }

    private TableReadState nextState(
            Phase next,
            FoldedTable folded,
            LogBounds newBounds,
            Optional<SnapshotPosition> position,
            List<LoggedRecord> records,
            int divergent) {
        return new TableReadState(
                next,
                folded,
                newBounds,
                0,
                0,
                FoldedTable.empty(),
                position,
                firstRecordMillisAfter(records),
                divergent);
    }

    private Optional<Long> firstRecordMillisAfter(List<LoggedRecord> records) {
        return firstRecordMillis.or(() -> records.stream().findFirst().map(LoggedRecord::appendedAtMillis));
    }

    private static FoldedTable newerSnapshot(FoldedTable bestFound, LoggedRecord record, LogBounds newBounds) {
        return snapshotOf(record)
                .filter(snapshot ->
                        snapshot.coveredOffset() > bestFound.offset() && snapshot.coveredOffset() >= newBounds.oldest())
                .flatMap(TableReadState::decodeSnapshot)
                .orElse(bestFound);
    }

    /** Drops a snapshot that claims to cover its own record or later ones: it cannot be a fold of earlier records. */
    private static Optional<TableRecords.SnapshotRecord> snapshotOf(LoggedRecord record) {
        return TableRecords.readSnapshot(record.value())
                .filter(snapshot -> snapshot.coveredOffset() <= record.offset());
    }

    private static Optional<FoldedTable> decodeSnapshot(TableRecords.SnapshotRecord snapshot) {
        Either<String, FoldedTable> read = TableSnapshotCodec.read(FoldedTable.empty(), snapshot.snapshot());
        return read.toJavaOptional().filter(table -> table.offset() == snapshot.coveredOffset());
    }

    /** Whether the record is a snapshot at the same offset as the folded table but with other contents. */
    private static boolean isDivergent(LoggedRecord record, FoldedTable folded) {
        return snapshotOf(record)
                .filter(snapshot -> snapshot.coveredOffset() == folded.offset())
                .flatMap(TableReadState::decodeSnapshot)
                .filter(table -> !table.equals(folded))
                .isPresent();
    }

    private static Optional<SnapshotPosition> positionOf(LoggedRecord record) {
        return snapshotOf(record)
                .map(snapshot -> new SnapshotPosition(snapshot.coveredOffset(), record.appendedAtMillis()));
    }

    private static Optional<SnapshotPosition> newerPosition(
            Optional<SnapshotPosition> old, Optional<SnapshotPosition> seen) {
        if (old.isEmpty() || seen.isEmpty()) {
            return old.or(() -> seen);
        }
        return seen.get().isBetterThan(old.get()) ? seen : old;
    }
}
