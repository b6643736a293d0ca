package org.cornelramp.core.operate;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * What became of one edit. Immutable, safe for use by any thread.
 *
 * @param kind what is known
 * @param id id of the edit on the log
 * @param row the row in force after the verdict: the edit's own if accepted, what it lost to if rejected
 * @param offset offset of the edit's record; empty if none was read back
 * @param detail why, and what to do, as one sentence; empty if accepted
 */
public record EditResult(Kind kind, String id, RowDocument row, Optional<Long> offset, String detail) {

    /** What can be known of an edit. */
    public enum Kind {
        /** It is in force, and every process will apply it. */
        @JsonProperty("accepted")
        ACCEPTED,
        /** It changed nothing and never will. */
        @JsonProperty("rejected")
        REJECTED,
        /** It may be on the log, and could not be read back. */
        @JsonProperty("unknown")
        UNKNOWN
    }
}
