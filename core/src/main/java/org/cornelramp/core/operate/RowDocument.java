package org.cornelramp.core.operate;

import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;

/**
 * A table row as operators read it. Immutable, safe for use by any thread.
 *
 * @param organisation the organisation
 * @param service the service
 * @param version version that an edit of the row must name; that of its deletion if deleted; -1 if it never existed
 * @param values the columns; empty if there is no such row
 */
public record RowDocument(OrganisationId organisation, ServiceName service, long version, Optional<RowValues> values) {

    /** Returns the document of a row in force. */
    public static RowDocument of(Row row) {
        return new RowDocument(row.key().organisation(), row.key().service(), row.version(), Optional.of(row.values()));
    }

    /** Returns the document of a row that may not exist. */
    public static RowDocument of(FoldedTable table, RowKey key) {
        return new RowDocument(
                key.organisation(),
                key.service(),
                table.version(key),
                table.row(key).map(Row::values));
    }

    /** Returns organisation and service as a key. */
    public RowKey key() {
        return new RowKey(organisation, service);
    }
}
