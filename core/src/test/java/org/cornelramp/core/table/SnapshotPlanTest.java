package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Every entry sees at the same moment that the newest snapshot is too old, as after a log outage. Without a wait of
 * its own for each, a thousand of them would append a snapshot each at once, above what the log accepts.
 */
public class SnapshotPlanTest {
    private static final Duration MAX_AGE = Duration.ofMinutes(10);
    private static final Instant START = Instant.ofEpochSecond(1_000_000);
    private static final int ENTRIES = 1_500;
    private static final int STEP_MILLIS = 50;
    /** Time from an append until the others have read it, several times what a long poll takes. */
    private static final int SEEN_MILLIS = 300;

    private static LogModel oldLog() {
        LogModel log = new LogModel();
        log.edit(0, 1);
        return log;
    }

    private static TableReading readAll(LogModel log) {
        return log.read(TableReading.start(), Integer.MAX_VALUE / 2);
    }

    @Test
    public void fewOfManyEntriesWrite() {
        LogModel log = oldLog();
        TableReading old = readAll(log);
        List<SnapshotPlan> plans = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            plans.add(SnapshotPlan.start());
        }
        int writers = 0;
        Instant firstWrite = Instant.MAX;
        for (int ms = 0; ms <= SnapshotPlan.SPREAD.toMillis() + STEP_MILLIS; ms += STEP_MILLIS) {
            Instant now = START.plusMillis(ms);
            if (firstWrite.isBefore(now.minusMillis(SEEN_MILLIS))) {
                break; // everyone has read the first snapshot
            }
            for (int i = 0; i < ENTRIES; i++) {
                SnapshotPlan.Step step = plans.get(i).look(old, MAX_AGE, "entry-" + i, now);
                plans.set(i, step.plan());
                writers += step.write() ? 1 : 0;
                firstWrite = step.write() && firstWrite.isAfter(now) ? now : firstWrite;
            }
        }
        assertTrue(writers >= 1 && writers <= 10, "writers=" + writers);
    }

    @Test
    public void aFreshSnapshotEndsTheNeed() {
        LogModel log = oldLog();
        log.append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(1, TableSnapshotCodec.write(log.table())), "e1"),
                START.toEpochMilli());
        SnapshotPlan.Step step = SnapshotPlan.start().look(readAll(log), MAX_AGE, "e2", START.plusSeconds(60));
        assertFalse(step.write());
        assertTrue(step.plan().dueSince().isEmpty());
    }

    @Test
    public void anIdleTableIsRenewedBeforeRetentionTakesItsSnapshot() {
        LogModel log = oldLog();
        log.append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(1, TableSnapshotCodec.write(log.table())), "e1"),
                START.toEpochMilli());
        Instant late = START.plus(MAX_AGE).plusMillis(1);
        SnapshotPlan plan =
                SnapshotPlan.start().look(readAll(log), MAX_AGE, "e2", late).plan();
        assertTrue(plan.look(readAll(log), MAX_AGE, "e2", late.plus(SnapshotPlan.SPREAD))
                .write());
    }

    @Test
    public void oneWhoHasNotReadToTheEndWritesNothing() {
        LogModel log = oldLog();
        TableReading part = TableReading.start().onPage(new LogBounds(0, 5), log.records);
        assertEquals(
                SnapshotPlan.start()
                        .look(part, MAX_AGE, "e2", START.plusSeconds(1))
                        .plan()
                        .dueSince()
                        .isEmpty(),
                true);
    }
}
