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
 * The table that results from folding the log up to one offset, with the version of each deleted row.
 *
 * <p>The versions of deleted rows are kept: otherwise an edit based on a state before the deletion would be accepted as
 * the creation of a new row and restore what an operator removed.
 *
 * <p>Immutable and safe for use by any thread; a change shares all unchanged rows with the table before it.
 * Invariants: every version is below the offset; each hash of a caller key belongs to one organisation only.
 */
public final class FoldedTable implements Table {
    /** Version of a row that has never existed. */
    public static final long NO_VERSION = -1;

    private static final FoldedTable EMPTY =
            new FoldedTable(0, TreeMap.empty(), TreeMap.empty(), HashMap.empty(), HashMap.empty());

    private final long offset;
    private final SortedMap<RowKey, Row> rows;
    private final SortedMap<RowKey, Long> deletionVersions;
    private final Map<String, KeyOwner> keyOwners;
    private final Map<ServiceName, Integer> rowsByService;

    /** The organisation that owns a key hash, and the number of its rows that list it. */
    private record KeyOwner(OrganisationId organisation, int rows) {}

    private FoldedTable(
            long offset,
            SortedMap<RowKey, Row> rows,
            SortedMap<RowKey, Long> deletionVersions,
            Map<String, KeyOwner> keyOwners,
            Map<ServiceName, Integer> rowsByService) {
        this.offset = offset;
        this.rows = rows;
        this.deletionVersions = deletionVersions;
        this.keyOwners = keyOwners;
        this.rowsByService = rowsByService;
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
        return keyOwners.get(callerKeyHash).map(KeyOwner::organisation).toJavaOptional();
    }

    @Override
    public boolean hasService(ServiceName service) {
        return rowsByService.containsKey(service);
    }

    /** Number of rows. */
    public int size() {
        return rows.size();
    }

    /** Base version for an edit of the row: its version, else that of its deletion, else {@link #NO_VERSION}. */
    public long version(RowKey key) {
        return rows.get(key)
                .map(Row::version)
                .getOrElse(() -> deletionVersions.get(key).getOrElse(NO_VERSION));
    }

    /** The versions of the deletions of rows, ordered by row key. */
    public java.util.Map<RowKey, Long> deletions() {
        return deletionVersions.toJavaMap();
    }

    /** Returns this table at another offset that is not lower, with the same rows. */
    public FoldedTable atOffset(long newOffset) {
        if (newOffset < offset) {
            throw new IllegalArgumentException("The offset of a table must not decrease");
        }
        return new FoldedTable(newOffset, rows, deletionVersions, keyOwners, rowsByService);
    }

    /**
     * Returns this table with one row set; the offset becomes at least the row's version plus 1.
     *
     * @throws IllegalArgumentException if another organisation already has a caller key of the row
     */
    public FoldedTable with(Row row) {
        FoldedTable without = without(row.key());
        Map<String, KeyOwner> newOwners = without.keyOwners;
        for (String hash : row.values().callerKeyHashes()) {
            KeyOwner owner =
                    newOwners.get(hash).getOrElse(new KeyOwner(row.key().organisation(), 0));
            if (!owner.organisation().equals(row.key().organisation())) {
                throw new IllegalArgumentException("A caller key must belong to one organisation only");
            }
            newOwners = newOwners.put(hash, new KeyOwner(owner.organisation(), owner.rows() + 1));
        }
        ServiceName service = row.key().service();
        return new FoldedTable(
                Math.max(offset, row.version() + 1),
                without.rows.put(row.key(), row),
                without.deletionVersions,
                newOwners,
                without.rowsByService.put(service, without.rowsByService.getOrElse(service, 0) + 1));
    }

    /** Returns this table with one row deleted at a version. */
    public FoldedTable withDeletion(RowKey key, long version) {
        FoldedTable without = without(key);
        return new FoldedTable(
                Math.max(offset, version + 1),
                without.rows,
                without.deletionVersions.put(key, version),
                without.keyOwners,
                without.rowsByService);
    }

    /** Returns this table without the row and without its deletion. */
    FoldedTable without(RowKey key) {
        Row row = rows.get(key).getOrNull();
        if (row == null) {
            return new FoldedTable(offset, rows, deletionVersions.remove(key), keyOwners, rowsByService);
        }
        Map<String, KeyOwner> newOwners = keyOwners;
        for (String hash : row.values().callerKeyHashes()) {
            KeyOwner owner = newOwners.get(hash).get();
            newOwners = owner.rows() == 1
                    ? newOwners.remove(hash)
                    : newOwners.put(hash, new KeyOwner(owner.organisation(), owner.rows() - 1));
        }
        int remainingRows = rowsByService.get(key.service()).get() - 1;
        Map<ServiceName, Integer> newServices = remainingRows == 0
                ? rowsByService.remove(key.service())
                : rowsByService.put(key.service(), remainingRows);
        return new FoldedTable(offset, rows.remove(key), deletionVersions, newOwners, newServices);
    }

    @Override
    public boolean equals(Object other) {
        if (this == other) {
            return true;
        }
        return other instanceof FoldedTable that
                && offset == that.offset
                && rows.equals(that.rows)
                && deletionVersions.equals(that.deletionVersions);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(offset) * 31 + rows.hashCode();
    }

    @Override
    public String toString() {
        return "FoldedTable[offset=" + offset + ", rows=" + rows.size() + ", deleted=" + deletionVersions.size() + "]";
    }
}
