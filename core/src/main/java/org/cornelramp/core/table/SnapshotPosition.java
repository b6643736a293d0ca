package org.cornelramp.core.table;

/**
 * Position and time of a snapshot on the log. Immutable, safe for use by any thread.
 *
 * @param covers offset of the table in the snapshot
 * @param at time at which the log appended the record, in milliseconds since 1970
 */
public record SnapshotPosition(long covers, long at) {

    /** Whether this snapshot is preferable: it covers more records, or the same number and is retained for longer. */
    boolean isBetterThan(SnapshotPosition other) {
        return covers != other.covers ? covers > other.covers : at > other.at;
    }
}
