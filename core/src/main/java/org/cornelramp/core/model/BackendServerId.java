package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a backend server VM; its agent has the same name after every restart.
 *
 * <p>Invariant: {@link NameValidator#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record BackendServerId(@JsonValue String value) implements Comparable<BackendServerId> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public BackendServerId {
        NameValidator.check("backend server", value);
    }

    /**
     * Returns the id of one incarnation of the server, from its start to its end. Incarnations with different start
     * times have different ids, so that state of one incarnation is never applied to another.
     *
     * @param startMillis start time by the server's own clock; it distinguishes incarnations and does not order them
     */
    public BackendServerId forIncarnation(long startMillis) {
        return new BackendServerId(value + "." + Long.toString(startMillis, Character.MAX_RADIX));
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
