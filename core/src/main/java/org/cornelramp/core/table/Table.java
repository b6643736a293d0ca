package org.cornelramp.core.table;

import java.util.Collection;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * The table at one log offset, as the routing decisions read it.
 *
 * <p>Implementations are immutable and safe for use by any thread; a change creates a new table.
 */
public interface Table {

    /** Offset after the last log record that this table includes; a table never replaces one with a higher offset. */
    long offset();

    /** The row of an organisation and service, if it exists. */
    Optional<Row> row(RowKey key);

    /** All rows, ordered by key. */
    Collection<Row> rows();

    /** The organisation whose rows list this hash of a caller key, if any. */
    Optional<OrganisationId> organisationOf(String callerKeyHash);

    /** Whether any row is for this service. */
    boolean hasService(ServiceName service);
}
