package org.cornelramp.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What became of an order. The set is closed. */
public enum OrderOutcome {
    /** The engine took it. */
    @JsonProperty("taken")
    TAKEN,
    /** Refused: a newer term is known. Whoever gave the order holds its duty no longer. */
    @JsonProperty("stale")
    STALE,
    /** Refused for now: since its start the agent could not learn the newest term, or it has too many orders. */
    @JsonProperty("not-ready")
    NOT_READY,
    /** The engine refused it, or it did not reach the engine: it had no effect. */
    @JsonProperty("failed")
    FAILED,
    /** It reached the engine, and no answer came: it may have had its effect. */
    @JsonProperty("unknown")
    UNKNOWN
}
