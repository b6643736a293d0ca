package org.cornelramp.daemon.table;

import java.util.function.Consumer;
import org.cornelramp.core.table.Table;

/** The table in force at this process. Safe for use by any thread. Invariant: its offset never falls. */
public interface TableSource {

    /** The table in force; an empty one with offset 0 before the first is known. */
    Table current();

    /** Whether a table is known, so that requests may be judged by it. */
    boolean isReady();

    /** The table in force in the form that {@link #takeSnapshot} reads, for a peer. */
    byte[] snapshot();

    /**
     * What changed at and above an offset, in the form that {@link #takeSnapshot} reads, for a peer that applies the
     * table of that offset or a later one; small where {@link #snapshot} is whole. 0 gives the whole table.
     */
    byte[] snapshotAbove(long above);

    /** Takes a peer's table if its offset is above that of the table in force; false if it was not taken. */
    boolean takeSnapshot(long offset, byte[] snapshot);

    /** Adds a listener, called after each change on the thread that made it; it must not block. */
    void onChange(Consumer<Table> listener);
}
