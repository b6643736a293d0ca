package org.cornelramp.core.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kind of the backend server of an agent. */
public enum BackendKind {
    /** A model engine that holds a range of layers. */
    @JsonProperty("engine")
    ENGINE,
    /** A plain service. */
    @JsonProperty("service")
    SERVICE
}
