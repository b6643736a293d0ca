package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of what callers request: a model, or a plain service beside the models.
 *
 * <p>Invariant: {@link NameValidator#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceName {
        NameValidator.check("service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
