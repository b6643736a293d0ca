package org.cornelramp.daemon.table;

import java.util.function.Consumer;
import org.cornelramp.core.table.Table;

/**
 * Gives access to the table in force at this process. Safe for use by any thread. Invariant: its offset never
 * decreases.
 */
public interface TableSource {

    /** Returns the table in force; an empty table with offset 0 before the first is known. */
    Table current();

    /** Whether a table is known, so that requests can be checked against it. */
    boolean isReady();

    /** Returns the whole table in force, encoded for {@link #applySnapshot} of a peer. */
    byte[] snapshot();

    /**
     * Returns the changes at and above an offset, encoded for {@link #applySnapshot} of a peer that applies the table of
     * that offset or a later one. It is small compared with {@link #snapshot}, which is the whole table; offset 0 gives
     * the whole table.
     */
    byte[] snapshotAbove(long above);

    /**
     * Replaces the table in force by a peer's if that has a higher offset or no table is known yet; returns false if it
     * was not replaced.
     */
    boolean applySnapshot(long offset, byte[] snapshot);

    /** Adds a listener that is called after each change, on the thread that made the change; it must not block. */
    void onChange(Consumer<Table> listener);
}
