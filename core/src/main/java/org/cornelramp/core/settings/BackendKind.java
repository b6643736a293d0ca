package org.cornelramp.core.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What stands beside an agent. */
public enum BackendKind {
    /** A model engine that holds a range of layers. */
    @JsonProperty("engine")
    ENGINE,
    /** A plain service. */
    @JsonProperty("service")
    SERVICE
}
