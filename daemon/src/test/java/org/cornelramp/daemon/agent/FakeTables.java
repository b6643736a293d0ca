package org.cornelramp.daemon.agent;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.Table;
import org.cornelramp.daemon.table.TableSource;

/** A table source with an offset, snapshot bytes and no rows. Safe for use by any thread. */
final class FakeTables implements TableSource {
    private volatile long offset;
    private volatile byte[] bytes = new byte[0];

    FakeTables(long offset) {
        this.offset = offset;
    }

    @Override
    public Table current() {
        return new EmptyTable(offset);
    }

    @Override
    public boolean isReady() {
        return offset > 0;
    }

    @Override
    public byte[] snapshot() {
        return bytes;
    }

    @Override
    public byte[] snapshotAbove(long above) {
        return bytes;
    }

    @Override
    public synchronized boolean applySnapshot(long newOffset, byte[] snapshot) {
        if (newOffset <= offset) {
            return false;
        }
        offset = newOffset;
        bytes = snapshot;
        return true;
    }

    @Override
    public void onChange(Consumer<Table> listener) {}

    private record EmptyTable(long offset) implements Table {
        @Override
        public Optional<Row> row(RowKey key) {
            return Optional.empty();
        }

        @Override
        public Collection<Row> rows() {
            return List.of();
        }

        @Override
        public Optional<OrganisationId> organisationOf(String callerKeyHash) {
            return Optional.empty();
        }

        @Override
        public boolean hasService(ServiceName service) {
            return false;
        }
    }
}
