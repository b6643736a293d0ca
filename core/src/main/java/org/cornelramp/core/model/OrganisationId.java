package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an organisation, the unit to which shares, limits and service-level reports apply.
 *
 * <p>Invariant: {@link NameValidator#isValid the value is a valid name}. Immutable, safe for use by any thread.
 */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public OrganisationId {
        NameValidator.check("organisation", value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
