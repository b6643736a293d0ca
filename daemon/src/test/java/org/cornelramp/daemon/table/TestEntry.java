package org.cornelramp.daemon.table;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;
import org.cornelramp.core.table.TableEdit;
import org.cornelramp.ports.LogClient;

/** The table's part of one entry, for tests. Safe for use by any thread. */
public final class TestEntry implements AutoCloseable {
    /** Longest wait for what must happen; no test counts on how long it takes. */
    public static final Duration LONG = Duration.ofSeconds(20);

    /** The row that tests edit. */
    public static final RowKey KEY = new RowKey(new OrganisationId("o"), new ServiceName("s"));

    public final TableKeeper keeper = new TableKeeper();
    public final MeterRegistry meters = new SimpleMeterRegistry();
    final TableFollower follower;

    public TestEntry(LogClient log, String name) {
        this.follower = new TableFollower(
                log, keeper, new TableMeters(meters, keeper), Clock.systemUTC(), name, Duration.ofHours(1));
    }

    /** Starts to follow the log. */
    public TestEntry start() {
        follower.start();
        return this;
    }

    /** The table once it covers an offset. */
    public FoldedTable tableAt(long offset) throws InterruptedException {
        FoldedTable table = keeper.await(offset, LONG);
        if (table.offset() < offset) {
            throw new AssertionError("The table never reached " + offset + ": " + table + " " + follower.trouble());
        }
        return table;
    }

    /** Waits until the log is told not to help, and gives why. */
    String awaitTrouble() throws InterruptedException {
        long end = System.nanoTime() + LONG.toNanos();
        while (follower.trouble().isEmpty()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The log was never told not to help: " + follower.status());
            }
            Thread.sleep(5);
        }
        return follower.trouble();
    }

    /** Columns with a weight. */
    public static RowValues values(int weight) {
        return new RowValues(weight, 0, 0, 0, 0, 1_000, 99, List.of());
    }

    /** An edit of the row. */
    public static TableEdit edit(String id, long against, int weight) {
        return new TableEdit(id, KEY, against, Optional.of(values(weight)), "operator");
    }

    @Override
    public void close() {
        follower.stop();
    }
}
