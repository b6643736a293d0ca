package org.cornelramp.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The outcome of an order. The set is closed. */
public enum OrderOutcome {
    /** The engine accepted it. */
    @JsonProperty("taken")
    TAKEN,
    /** Refused: a newer term is known. The claim of the sender is superseded by a newer claim. */
    @JsonProperty("stale")
    STALE,
    /** Refused for now: since its start the agent could not learn the newest term, or it has too many orders. */
    @JsonProperty("not-ready")
    NOT_READY,
    /** The engine refused it, or it did not reach the engine: it had no effect. */
    @JsonProperty("failed")
    FAILED,
    /** It was sent to the engine without an answer: it may have taken effect. */
    @JsonProperty("unknown")
    UNKNOWN
}
