package org.cornelramp.core.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Role of a daemon, chosen in its settings. */
public enum Role {
    /** Serves callers and operators, and routes requests. */
    @JsonProperty("entry")
    ENTRY,
    /** Runs next to one backend server: admission, the record of executed requests, drain, fencing, pipeline steps. */
    @JsonProperty("agent")
    AGENT
}
