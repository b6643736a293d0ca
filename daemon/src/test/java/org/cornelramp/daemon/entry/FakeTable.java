package org.cornelramp.daemon.entry;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Consumer;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.Table;
import org.cornelramp.daemon.table.TableSource;

/** A table whose rows a test sets. */
final class FakeTable implements TableSource, Table {
    private final Map<RowKey, Row> rows = new ConcurrentSkipListMap<>();
    volatile boolean ready = true;

    void put(Row row) {
        rows.put(row.key(), row);
    }

    @Override
    public Table current() {
        return this;
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public byte[] snapshot() {
        return new byte[0];
    }

    @Override
    public byte[] snapshotAbove(long above) {
        return new byte[0];
    }

    @Override
    public boolean applySnapshot(long offset, byte[] snapshot) {
        return false;
    }

    @Override
    public void onChange(Consumer<Table> listener) {}

    @Override
    public long offset() {
        return 0;
    }

    @Override
    public Optional<Row> row(RowKey key) {
        return Optional.ofNullable(rows.get(key));
    }

    @Override
    public Collection<Row> rows() {
        return rows.values();
    }

    @Override
    public Optional<OrganisationId> organisationOf(String callerKeyHash) {
        return rows.values().stream()
                .filter(row -> row.values().callerKeyHashes().contains(callerKeyHash))
                .map(row -> row.key().organisation())
                .findFirst();
    }

    @Override
    public boolean hasService(ServiceName service) {
        return rows.keySet().stream().anyMatch(key -> key.service().equals(service));
    }
}
