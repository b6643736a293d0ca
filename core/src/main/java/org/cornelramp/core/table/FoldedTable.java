package org.cornelramp.core.table;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.Collection;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * The table as folded from the log up to one offset, with the version of each deleted row.
 *
 * <p>Deleted rows leave their version behind: an edit made against a state before the deletion would otherwise be
 * accepted as the creation of a new row and bring back what an operator removed.
 *
 * <p>Immutable and safe for use by any thread; a change shares all unchanged rows with the table before it.
 * Invariants: no version is as high as the offset; no hash of a caller key belongs to two organisations.
 */
public final class FoldedTable implements Table {
    /** Version of a row that never was. */
    public static final long NO_VERSION = -1;

    private static final FoldedTable EMPTY =
            new FoldedTable(0, TreeMap.empty(), TreeMap.empty(), HashMap.empty(), HashMap.empty());

    private final long offset;
    private final SortedMap<RowKey, Row> rows;
    private final SortedMap<RowKey, Long> deleted;
    private final Map<String, Owner> owners;
    private final Map<ServiceName, Integer> services;

    /** The organisation of a hash, and the number of its rows that list it. */
    private record Owner(OrganisationId organisation, int rows) {}

    private FoldedTable(
            long offset,
            SortedMap<RowKey, Row> rows,
            SortedMap<RowKey, Long> deleted,
            Map<String, Owner> owners,
            Map<ServiceName, Integer> services) {
        this.offset = offset;
        this.rows = rows;
        this.deleted = deleted;
        this.owners = owners;
        this.services = services;
    }

    /** The table before the first record. */
    public static FoldedTable empty() {
        return EMPTY;
    }

    @Override
    public long offset() {
        return offset;
    }

    @Override
    public Optional<Row> row(RowKey key) {
        return rows.get(key).toJavaOptional();
    }

    @Override
    public Collection<Row> rows() {
        return new RowsView(rows);
    }

    @Override
    public Optional<OrganisationId> organisationOf(String callerKeyHash) {
        return owners.get(callerKeyHash).map(Owner::organisation).toJavaOptional();
    }

    @Override
    public boolean hasService(ServiceName service) {
        return services.containsKey(service);
    }

    /** Number of rows. */
    public int size() {
        return rows.size();
    }

    /** Version that an edit of the row must name: that of the row, else of its deletion, else {@link #NO_VERSION}. */
    public long version(RowKey key) {
        return rows.get(key).map(Row::version).getOrElse(() -> deleted.get(key).getOrElse(NO_VERSION));
    }

    /** Deleted rows with the versions of their deletions, in the order of their keys. */
    public java.util.Map<RowKey, Long> deletions() {
        return deleted.toJavaMap();
    }

    /** This table at a higher offset, with no row changed. */
    public FoldedTable at(long newOffset) {
        if (newOffset < offset) {
            throw new IllegalArgumentException("A table's offset never falls");
        }
        return new FoldedTable(newOffset, rows, deleted, owners, services);
    }

    /**
     * This table with one row set; the offset moves past the row's version if it is below.
     *
     * @throws IllegalArgumentException if another organisation already has a caller key of the row
     */
    public FoldedTable with(Row row) {
        FoldedTable without = without(row.key());
        Map<String, Owner> owned = without.owners;
        for (String hash : row.values().callerKeyHashes()) {
            Owner owner = owned.get(hash).getOrElse(new Owner(row.key().organisation(), 0));
            if (!owner.organisation().equals(row.key().organisation())) {
                throw new IllegalArgumentException("A caller key belongs to one organisation only");
            }
            owned = owned.put(hash, new Owner(owner.organisation(), owner.rows() + 1));
        }
        ServiceName service = row.key().service();
        return new FoldedTable(
                Math.max(offset, row.version() + 1),
                without.rows.put(row.key(), row),
                without.deleted,
                owned,
                without.services.put(service, without.services.getOrElse(service, 0) + 1));
    }

    /** This table with one row deleted at a version. */
    public FoldedTable withDeletion(RowKey key, long version) {
        FoldedTable without = without(key);
        return new FoldedTable(
                Math.max(offset, version + 1),
                without.rows,
                without.deleted.put(key, version),
                without.owners,
                without.services);
    }

    /** This table with neither the row nor its deletion. */
    FoldedTable without(RowKey key) {
        Row row = rows.get(key).getOrNull();
        if (row == null) {
            return new FoldedTable(offset, rows, deleted.remove(key), owners, services);
        }
        Map<String, Owner> owned = owners;
        for (String hash : row.values().callerKeyHashes()) {
            Owner owner = owned.get(hash).get();
            owned = owner.rows() == 1
                    ? owned.remove(hash)
                    : owned.put(hash, new Owner(owner.organisation(), owner.rows() - 1));
        }
        int left = services.get(key.service()).get() - 1;
        Map<ServiceName, Integer> served =
                left == 0 ? services.remove(key.service()) : services.put(key.service(), left);
        return new FoldedTable(offset, rows.remove(key), deleted, owned, served);
    }

    @Override
    public boolean equals(Object other) {
        if (this == other) {
            return true;
        }
        return other instanceof FoldedTable that
                && offset == that.offset
                && rows.equals(that.rows)
                && deleted.equals(that.deleted);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(offset) * 31 + rows.hashCode();
    }

    @Override
    public String toString() {
        return "FoldedTable[offset=" + offset + ", rows=" + rows.size() + ", deleted=" + deleted.size() + "]";
    }
}
