package org.cornelramp.core.table;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * How far one process has read the log's table stream: what to read next, and the table folded so far.
 *
 * <p>Reading follows the tail of the stream. When retention has taken records that were not read yet, it scans all
 * that is kept for the snapshot that covers most, starts from that and follows the tail again. Every snapshot is
 * the result of the same fold, so it does not matter who wrote it or how late: one that covers less than what is
 * already folded is passed over, and records behind the one chosen are folded on top of it.
 *
 * <p>Pure: each event gives a new state. Immutable, safe for use by any thread. Invariants: the table's offset never
 * falls; every record from the table's offset on is still to be folded.
 */
public final class TableReading {
    private final Phase phase;
    private final FoldedTable table;
    private final LogBounds bounds;
    private final long scanAt;
    private final long scanEnd;
    private final FoldedTable best;
    private final Optional<SnapshotMark> newest;
    private final Optional<Long> firstAt;
    private final int divergences;

    /** What the reading is doing. */
    public enum Phase {
        /** Folds the records from the table's offset on. */
        TAIL,
        /** Looks through all records that are kept for the snapshot that covers most. */
        SCAN,
        /** The log lacks records that were not read and holds no snapshot in their place. */
        STUCK
    }

    private TableReading(
            Phase phase,
            FoldedTable table,
            LogBounds bounds,
            long scanAt,
            long scanEnd,
            FoldedTable best,
            Optional<SnapshotMark> newest,
            Optional<Long> firstAt,
            int divergences) {
        this.phase = phase;
        this.table = table;
        this.bounds = bounds;
        this.scanAt = scanAt;
        this.scanEnd = scanEnd;
        this.best = best;
        this.newest = newest;
        this.firstAt = firstAt;
        this.divergences = divergences;
    }

    /** The reading of a process that has just started. */
    public static TableReading start() {
        FoldedTable empty = FoldedTable.empty();
        return new TableReading(
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

    /** What the reading is doing. */
    public Phase phase() {
        return phase;
    }

    /** The table folded so far. */
    public FoldedTable table() {
        return table;
    }

    /** What the log was last seen to keep. */
    public LogBounds bounds() {
        return bounds;
    }

    /** The snapshot seen that covers most. */
    public Optional<SnapshotMark> newestSnapshot() {
        return newest;
    }

    /** When the log took the first record that was read, in milliseconds since 1970. */
    public Optional<Long> firstAt() {
        return firstAt;
    }

    /** Snapshots seen that differ from the own fold of the same records; any is a fault of the program. */
    public int divergences() {
        return divergences;
    }

    /** Offset to read from next. */
    public long readFrom() {
        return phase == Phase.SCAN ? scanAt : table.offset();
    }

    /** Whether every record that the log was seen to hold is folded. */
    public boolean isAtEnd() {
        return phase == Phase.TAIL && table.offset() >= bounds.next();
    }

    /** Whether the log ends below what is folded already, as after the platform has restored an old state of it. */
    public boolean isLogBehind() {
        return table.offset() > bounds.next();
    }

    /** The state after records were read from {@link #readFrom}. */
    public TableReading onPage(LogBounds now, List<LoggedRecord> records) {
        return phase == Phase.SCAN ? scan(now, records) : fold(now, records);
    }

    /** The state after the log has said that it no longer keeps the records from {@link #readFrom} on. */
    public TableReading onGone(LogBounds now) {
        if (phase != Phase.SCAN && table.offset() >= now.oldest()) {
            return this;
        }
        return new TableReading(Phase.SCAN, table, now, now.oldest(), now.next(), table, newest, firstAt, divergences);
    }

    /** The state after a peer's table is known; it is taken only where the log cannot help. */
    public TableReading onPeerTable(FoldedTable peer) {
        if (phase != Phase.STUCK || peer.offset() <= table.offset()) {
            return this;
        }
        return new TableReading(Phase.TAIL, peer, bounds, 0, 0, peer, newest, firstAt, divergences);
    }

    private TableReading fold(LogBounds now, List<LoggedRecord> records) {
        FoldedTable folded = table;
        Optional<SnapshotMark> mark = newest;
        int faults = divergences;
        for (LoggedRecord record : records) {
            if (record.offset() > folded.offset()) {
                return with(Phase.TAIL, folded, now, mark, records, faults).onGone(now);
            }
            if (record.offset() == folded.offset()) {
                faults += differs(record, folded) ? 1 : 0;
                mark = better(mark, markOf(record));
                folded =
                        TableFold.apply(folded, record.offset(), record.value()).table();
            }
        }
        return with(Phase.TAIL, folded, now, mark, records, faults);
    }

    private TableReading scan(LogBounds now, List<LoggedRecord> records) {
        FoldedTable found = best;
        Optional<SnapshotMark> mark = newest;
        long at = scanAt;
        for (LoggedRecord record : records) {
            mark = better(mark, markOf(record));
            found = betterTable(found, record, now);
            at = record.offset() + 1;
        }
        boolean done = at >= scanEnd || records.isEmpty();
        if (!done) {
            return new TableReading(Phase.SCAN, table, now, at, scanEnd, found, mark, firstOf(records), divergences);
        }
        boolean usable = found.offset() >= now.oldest();
        return new TableReading(
                usable ? Phase.TAIL : Phase.STUCK,
                usable ? found : table,
                now,
                0,
                0,
                FoldedTable.empty(),
                mark,
                firstOf(records),
                divergences);
    }

    private TableReading with(
            Phase next,
            FoldedTable folded,
            LogBounds now,
            Optional<SnapshotMark> mark,
            List<LoggedRecord> records,
            int faults) {
        return new TableReading(next, folded, now, 0, 0, FoldedTable.empty(), mark, firstOf(records), faults);
    }

    private Optional<Long> firstOf(List<LoggedRecord> records) {
        return firstAt.or(() -> records.stream().findFirst().map(LoggedRecord::at));
    }

    private static FoldedTable betterTable(FoldedTable found, LoggedRecord record, LogBounds now) {
        return snapshotOf(record)
                .filter(snapshot -> snapshot.covers() > found.offset() && snapshot.covers() >= now.oldest())
                .flatMap(TableReading::decode)
                .orElse(found);
    }

    /** A snapshot that claims to cover its own record or later ones cannot be the fold of what came before it. */
    private static Optional<TableRecords.SnapshotRecord> snapshotOf(LoggedRecord record) {
        return TableRecords.readSnapshot(record.value()).filter(snapshot -> snapshot.covers() <= record.offset());
    }

    private static Optional<FoldedTable> decode(TableRecords.SnapshotRecord snapshot) {
        Either<String, FoldedTable> read = TableSnapshotCodec.read(FoldedTable.empty(), snapshot.snapshot());
        return read.toJavaOptional().filter(table -> table.offset() == snapshot.covers());
    }

    /** Whether a snapshot of exactly what is folded here is another table. */
    private static boolean differs(LoggedRecord record, FoldedTable folded) {
        return snapshotOf(record)
                .filter(snapshot -> snapshot.covers() == folded.offset())
                .flatMap(TableReading::decode)
                .filter(table -> !table.equals(folded))
                .isPresent();
    }

    private static Optional<SnapshotMark> markOf(LoggedRecord record) {
        return snapshotOf(record).map(snapshot -> new SnapshotMark(snapshot.covers(), record.at()));
    }

    private static Optional<SnapshotMark> better(Optional<SnapshotMark> old, Optional<SnapshotMark> seen) {
        if (old.isEmpty() || seen.isEmpty()) {
            return old.or(() -> seen);
        }
        return seen.get().isBetterThan(old.get()) ? seen : old;
    }
}
