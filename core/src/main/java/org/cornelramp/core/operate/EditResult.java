package org.cornelramp.core.operate;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Result of one edit. Immutable, safe for use by any thread.
 *
 * @param kind what is known about the edit
 * @param id id of the edit on the log
 * @param row the row in force after the decision: the edit's own if accepted, otherwise the row that stayed in force
 * @param offset offset of the edit's record; empty if none was read back
 * @param detail reason and remedy in one sentence; empty if accepted
 */
public record EditResult(Kind kind, String id, RowDocument row, Optional<Long> offset, String detail) {

    /** Possible results of an edit. */
    public enum Kind {
        /** The edit is in force, and every process will apply it. */
        @JsonProperty("accepted")
        ACCEPTED,
        /** The edit changed nothing and never will. */
        @JsonProperty("rejected")
        REJECTED,
        /** The edit may be on the log, but could not be read back. */
        @JsonProperty("unknown")
        UNKNOWN
    }
}
