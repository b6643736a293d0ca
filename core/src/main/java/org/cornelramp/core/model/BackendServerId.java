package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one backend server VM; its agent carries the same name over every restart.
 *
 * <p>Invariant: {@link Names#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record BackendServerId(@JsonValue String value) implements Comparable<BackendServerId> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public BackendServerId {
        Names.check("backend server", value);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
