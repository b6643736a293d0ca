package org.cornelramp.daemon.table;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.Table;
import org.cornelramp.core.table.TableSnapshotCodec;

/**
 * Holds the table in force. Whoever brings a table, the log's follower or a peer, it is taken only if its offset is
 * higher, so that a slow peer or a restored log cannot take an accepted edit back.
 *
 * <p>Safe for use by any thread: readers see one immutable table, writers take turns.
 */
public final class TableKeeper implements TableSource {
    private static final System.Logger LOG = System.getLogger(TableKeeper.class.getName());

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<Consumer<Table>> listeners = new CopyOnWriteArrayList<>();
    private volatile FoldedTable table = FoldedTable.empty();
    private volatile boolean ready;
    private volatile Packed packed = new Packed(FoldedTable.empty(), new byte[0]);

    /** A table with its bytes, so that many peers that ask cost one packing. */
    private record Packed(FoldedTable table, byte[] bytes) {}

    /** The table in force, with what the fold needs besides. */
    public FoldedTable folded() {
        return table;
    }

    /** Takes a table if its offset is higher, or if none was known yet; false if it was not taken. */
    public synchronized boolean take(FoldedTable newer) {
        if (newer.offset() < table.offset() || (ready && newer.offset() == table.offset())) {
            return false;
        }
        table = newer;
        ready = true;
        notifyAll();
        listeners.forEach(listener -> listener.accept(newer));
        return true;
    }

    /** Waits until the table in force covers an offset, and gives the table in force then or at the limit. */
    public synchronized FoldedTable await(long offset, Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (table.offset() < offset) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                break;
            }
            wait(left / NANOS_PER_MILLI + 1);
        }
        return table;
    }

    /** Whether a table of the same offset is in force and is another one. */
    boolean differsFrom(FoldedTable other) {
        FoldedTable now = table;
        return ready && now.offset() == other.offset() && !now.equals(other);
    }

    @Override
    public Table current() {
        return table;
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public byte[] snapshot() {
        Packed last = packed;
        FoldedTable now = table;
        if (last.table().offset() != now.offset() || last.bytes().length == 0) {
            last = new Packed(now, TableSnapshotCodec.write(now));
            packed = last;
        }
        return last.bytes();
    }

    @Override
    public byte[] snapshotAbove(long above) {
        return above <= 0 ? snapshot() : TableSnapshotCodec.writeChangesSince(table, above);
    }

    @Override
    public boolean takeSnapshot(long offset, byte[] snapshot) {
        if (ready && offset <= table.offset()) {
            return false;
        }
        Either<String, FoldedTable> read = TableSnapshotCodec.read(table, snapshot);
        if (read.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, "table: a peer's table was refused; why=" + read.getLeft());
            return false;
        }
        return take(read.get());
    }

    @Override
    public void onChange(Consumer<Table> listener) {
        listeners.add(listener);
    }
}
