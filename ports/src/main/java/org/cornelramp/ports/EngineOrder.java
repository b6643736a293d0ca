package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An order to an engine. Immutable, safe for use by any thread.
 *
 * @param term fencing token
 * @param kind operation
 * @param argument model, adapter, version or role
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineOrder(long term, Kind kind, String argument) {

    /** The operation of an order. */
    public enum Kind {
        /** Load a model from the weight store. */
        @JsonProperty("load-model")
        LOAD_MODEL,
        /** Load an adapter. */
        @JsonProperty("load-adapter")
        LOAD_ADAPTER,
        /** Change the model's version. */
        @JsonProperty("set-version")
        SET_VERSION,
        /** Change the engine's role. */
        @JsonProperty("set-role")
        SET_ROLE
    }
}
