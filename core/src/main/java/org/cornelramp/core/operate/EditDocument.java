package org.cornelramp.core.operate;

import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;

/**
 * One edit that an operator requests. Immutable, safe for use by any thread.
 *
 * @param organisation the organisation
 * @param service the service
 * @param against version that the operator saw, from {@link RowDocument#version}
 * @param values the new columns; empty to delete the row
 */
public record EditDocument(OrganisationId organisation, ServiceName service, long against, Optional<RowValues> values) {

    /** Returns organisation and service as a key. */
    public RowKey key() {
        return new RowKey(organisation, service);
    }
}
