package org.cornelramp.core.table;

/**
 * Where the best snapshot on the log is. Immutable, safe for use by any thread.
 *
 * @param covers offset of the table in the snapshot
 * @param at when the log took the record, in milliseconds since 1970
 */
public record SnapshotMark(long covers, long at) {

    /** Whether this snapshot is the better one to start from: it covers more, or as much and is kept for longer. */
    boolean isBetterThan(SnapshotMark other) {
        return covers != other.covers ? covers > other.covers : at > other.at;
    }
}
