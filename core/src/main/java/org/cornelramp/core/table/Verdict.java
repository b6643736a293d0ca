package org.cornelramp.core.table;

/**
 * What the fold decided on one record. Immutable, safe for use by any thread.
 *
 * <p>It follows from the records before it alone, so every reader of the log reaches the same verdict.
 *
 * @param kind the decision
 * @param version version of the row after the record; {@link FoldedTable#NO_VERSION} if it never was, or if the
 *     record names no row
 * @param detail why, and what to do, as one sentence; empty if accepted
 */
public record Verdict(Kind kind, long version, String detail) {

    /** The decisions that the fold can take. */
    public enum Kind {
        /** The edit is in force. */
        ACCEPTED,
        /** Another edit against the same version came first. */
        LOST_RACE,
        /** A value is out of its range. */
        OUT_OF_RANGE,
        /** The edit lists a caller key that another organisation already has. */
        KEY_TAKEN,
        /** The record is no edit, or has no form that this reader knows: it changes nothing. */
        IGNORED;

        /** The form that answers and logs carry. */
        public String text() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** Whether the edit is in force. */
    public boolean isAccepted() {
        return kind == Kind.ACCEPTED;
    }
}
