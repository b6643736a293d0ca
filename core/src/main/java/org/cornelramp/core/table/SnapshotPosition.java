package org.cornelramp.core.table;

/**
 * Position and time of a snapshot on the log. Immutable, safe for use by any thread.
 *
 * @param coveredOffset offset of the table in the snapshot
 * @param appendedAtMillis time at which the log appended the record, in milliseconds since 1970
 */
public record SnapshotPosition(long coveredOffset, long appendedAtMillis) {

    /** Whether this snapshot is preferable: it covers more records, or the same number and is retained for longer. */
    boolean isBetterThan(SnapshotPosition other) {
        return coveredOffset != other.coveredOffset
                ? coveredOffset > other.coveredOffset
                : appendedAtMillis > other.appendedAtMillis;
    }
}
