package org.cornelramp.core.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a daemon does, chosen in its settings. */
public enum Role {
    /** Serves callers and operators, and routes. */
    @JsonProperty("entry")
    ENTRY,
    /** Stands beside one backend server: admission, the record of what ran, drain, fencing, pipeline steps. */
    @JsonProperty("agent")
    AGENT
}
