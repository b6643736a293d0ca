package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of the data centre that a process runs in, from its settings.
 *
 * <p>Invariant: {@link NameValidator#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record DataCentre(@JsonValue String value) implements Comparable<DataCentre> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public DataCentre {
        NameValidator.check("data centre", value);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
