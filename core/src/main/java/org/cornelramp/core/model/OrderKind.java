package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an order to an engine asks for. */
public enum OrderKind {
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
