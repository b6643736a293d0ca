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

/** The components of one entry that hold and follow the table, for tests. Safe for use by any thread. */
public final class TestEntry implements AutoCloseable {
    /** Longest wait for an event that must occur; no test depends on how long it takes. */
    public static final Duration TIMEOUT = Duration.ofSeconds(20);

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

    /** Waits until the table covers an offset and returns it. */
    public FoldedTable tableAt(long offset) throws InterruptedException {
        FoldedTable table = keeper.await(offset, TIMEOUT);
        if (table.offset() < offset) {
            throw new AssertionError(
                    "The table did not reach offset " + offset + ": " + table + " " + follower.logFault());
        }
        return table;
    }

    /** Waits until the follower reports a fault of the log, and returns the fault. */
    String awaitLogFault() throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (follower.logFault().isEmpty()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The follower reported no fault of the log: " + follower.status());
            }
            Thread.sleep(5);
        }
        return follower.logFault();
    }

    /** Returns the columns of a row with the given weight. */
    public static RowValues values(int weight) {
        return new RowValues(weight, 0, 0, 0, 0, 1_000, 99, List.of());
    }

    /** Returns an edit of the row. */
    public static TableEdit edit(String id, long baseVersion, int weight) {
        return new TableEdit(id, KEY, baseVersion, Optional.of(values(weight)), "operator");
    }

    @Override
    public void close() {
        follower.stop();
    }
}
