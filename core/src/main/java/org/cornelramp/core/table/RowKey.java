package org.cornelramp.core.table;

import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/** Identifies one row of the table. Immutable, safe for use by any thread. */
public record RowKey(OrganisationId organisation, ServiceName service) implements Comparable<RowKey> {

    @Override
    public int compareTo(RowKey other) {
        int order = organisation.compareTo(other.organisation);
        return order != 0 ? order : service.compareTo(other.service);
    }

    @Override
    public String toString() {
        return organisation + "/" + service;
    }
}
