package org.cornelramp.daemon.table;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Meters of the table in force and of its log. Safe for use by any thread. */
final class TableMeters {
    private final Counter readFailures;
    private final Counter divergences;
    private final Counter snapshots;
    private final Counter snapshotFailures;

    TableMeters(MeterRegistry meters, TableKeeper keeper) {
        this.readFailures = meters.counter("cornelramp.table.log.read.failures");
        this.divergences = meters.counter("cornelramp.table.divergences");
        this.snapshots = meters.counter("cornelramp.table.snapshots.written");
        this.snapshotFailures = meters.counter("cornelramp.table.snapshots.failed");
        Gauge.builder("cornelramp.table.offset", keeper, source -> source.folded()
                        .offset())
                .register(meters);
        Gauge.builder("cornelramp.table.rows", keeper, source -> source.folded().size())
                .register(meters);
    }

    void readFailed() {
        readFailures.increment();
    }

    void divergenceDetected() {
        divergences.increment();
    }

    void snapshotWritten(boolean done) {
        (done ? snapshots : snapshotFailures).increment();
    }
}
