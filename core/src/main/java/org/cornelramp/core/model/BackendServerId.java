package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one backend server VM; its agent carries the same name over every restart.
 *
 * <p>Invariant: {@link NameValidator#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record BackendServerId(@JsonValue String value) implements Comparable<BackendServerId> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public BackendServerId {
        NameValidator.check("backend server", value);
    }

    /**
     * Names one life of the server. Two lives never share a name, so what is known of one is never taken for the other.
     *
     * @param bornMillis when the life began, by the server's own clock; lives are told apart by it, not ordered
     */
    public BackendServerId forIncarnation(long bornMillis) {
        return new BackendServerId(value + "." + Long.toString(bornMillis, Character.MAX_RADIX));
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
