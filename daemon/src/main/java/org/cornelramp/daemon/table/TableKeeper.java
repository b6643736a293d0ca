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
 * Holds the table in force. A new table, from the log or from a peer, replaces it only if its offset is higher, so that
 * a slow peer or a restored log cannot undo an accepted edit.
 *
 * <p>Safe for use by any thread: readers see one immutable table, and writers are synchronised.
 */
public final class TableKeeper implements TableSource {
    private static final System.Logger LOG = System.getLogger(TableKeeper.class.getName());

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<Consumer<Table>> listeners = new CopyOnWriteArrayList<>();
    private volatile FoldedTable table = FoldedTable.empty();
    private volatile boolean ready;
    private volatile EncodedTable encoded = new EncodedTable(FoldedTable.empty(), new byte[0]);

    /** A table and its encoded snapshot, cached so that it is encoded once for any number of peers. */
    private record EncodedTable(FoldedTable table, byte[] bytes) {}

    /** Returns the table in force, with the state that folding further records needs. */
    public FoldedTable folded() {
        return table;
    }

    /**
     * Replaces the table in force if the new offset is higher, or at the same offset if no table was known yet; returns
     * false if the table was not replaced.
     */
    public synchronized boolean replaceIfNewer(FoldedTable newer) {
        if (newer.offset() < table.offset() || (ready && newer.offset() == table.offset())) {
            return false;
        }
        table = newer;
        ready = true;
        notifyAll();
        listeners.forEach(listener -> listener.accept(newer));
        return true;
    }

    /** Waits until the table in force covers an offset or the time limit passes, and returns the table in force. */
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

    /** Whether the table in force has the same offset as {@code other} and a different content. */
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
        EncodedTable last = encoded;
        FoldedTable now = table;
        if (last.table().offset() != now.offset() || last.bytes().length == 0) {
            last = new EncodedTable(now, TableSnapshotCodec.write(now));
            encoded = last;
        }
        return last.bytes();
    }

    @Override
    public byte[] snapshotAbove(long above) {
        return above <= 0 ? snapshot() : TableSnapshotCodec.writeChangesSince(table, above);
    }

    @Override
    public boolean applySnapshot(long offset, byte[] snapshot) {
        if (ready && offset <= table.offset()) {
            return false;
        }
        Either<String, FoldedTable> read = TableSnapshotCodec.read(table, snapshot);
        if (read.isLeft()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "table: a peer's table could not be decoded and is ignored; why=" + read.getLeft());
            return false;
        }
        return replaceIfNewer(read.get());
    }

    @Override
    public void onChange(Consumer<Table> listener) {
        listeners.add(listener);
    }
}
