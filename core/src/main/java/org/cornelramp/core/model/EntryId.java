package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an entry process.
 *
 * <p>Invariant: {@link NameValidator#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record EntryId(@JsonValue String value) implements Comparable<EntryId> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public EntryId {
        NameValidator.check("entry", value);
    }

    @Override
    public int compareTo(EntryId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
