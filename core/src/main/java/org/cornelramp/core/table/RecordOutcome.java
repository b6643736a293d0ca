package org.cornelramp.core.table;

/**
 * Result of folding one record: accepted, rejected or ignored. Immutable, safe for use by any thread.
 *
 * <p>It depends only on the log up to the record, so every reader of the log gets the same result.
 *
 * @param kind the result
 * @param version version of the row after the record; {@link FoldedTable#NO_VERSION} if it never existed, or if the
 *     record names no row
 * @param detail reason and remedy, as one sentence; empty if accepted
 */
public record RecordOutcome(Kind kind, long version, String detail) {

    /** The possible results. */
    public enum Kind {
        /** The edit is applied. */
        ACCEPTED,
        /** The base version of the edit is not the current version, since another edit came first. */
        LOST_RACE,
        /** A value is out of its range. */
        OUT_OF_RANGE,
        /** The edit lists a caller key that another organisation already has. */
        KEY_TAKEN,
        /** The record is not an edit, is malformed, or deletes a row that does not exist: it changes nothing. */
        IGNORED;

        /** The name in answers and log lines. */
        public String text() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** Whether the edit was accepted. */
    public boolean isAccepted() {
        return kind == Kind.ACCEPTED;
    }
}
