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
 * Guards against a burst of snapshots: after a log outage all entries see at the same time that the newest snapshot is
 * too old. Without different delays, a thousand entries would append one at once, more than the log accepts.
 */
public class SnapshotScheduleTest {
    private static final Duration MAX_AGE = Duration.ofMinutes(10);
    private static final Instant START = Instant.ofEpochSecond(1_000_000);
    private static final int ENTRIES = 1_500;
    private static final int STEP_MILLIS = 50;
    /** Time from an append until the other entries have read it, several times the duration of a long poll. */
    private static final int READ_DELAY_MILLIS = 300;

    private static InMemoryLog logWithOldEdit() {
        InMemoryLog log = new InMemoryLog();
        log.edit(0, 1);
        return log;
    }

    private static TableReadState readAll(InMemoryLog log) {
        return log.read(TableReadState.start(), Integer.MAX_VALUE / 2);
    }

    @Test
    public void onlyFewOfManyEntriesWrite() {
        InMemoryLog log = logWithOldEdit();
        TableReadState oldState = readAll(log);
        List<SnapshotSchedule> schedules = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            schedules.add(SnapshotSchedule.start());
        }
        int writers = 0;
        Instant firstWrite = Instant.MAX;
        for (int ms = 0; ms <= SnapshotSchedule.MAX_DELAY.toMillis() + STEP_MILLIS; ms += STEP_MILLIS) {
            Instant now = START.plusMillis(ms);
            if (firstWrite.isBefore(now.minusMillis(READ_DELAY_MILLIS))) {
                break; // every entry has read the first snapshot
            }
            for (int i = 0; i < ENTRIES; i++) {
                SnapshotSchedule.Decision decision = schedules.get(i).evaluate(oldState, MAX_AGE, "entry-" + i, now);
                schedules.set(i, decision.schedule());
                writers += decision.write() ? 1 : 0;
                firstWrite = decision.write() && firstWrite.isAfter(now) ? now : firstWrite;
            }
        }
        assertTrue(writers >= 1 && writers <= 10, "writers=" + writers);
    }

    @Test
    public void recentSnapshotMakesNoneDue() {
        InMemoryLog log = logWithOldEdit();
        log.append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(1, TableSnapshotCodec.write(log.table())), "e1"),
                START.toEpochMilli());
        SnapshotSchedule.Decision decision =
                SnapshotSchedule.start().evaluate(readAll(log), MAX_AGE, "e2", START.plusSeconds(60));
        assertFalse(decision.write());
        assertTrue(decision.schedule().dueSince().isEmpty());
    }

    @Test
    public void snapshotOfAnIdleTableIsRenewedAtMaxAge() {
        InMemoryLog log = logWithOldEdit();
        log.append(
                TableRecords.writeSnapshot(
                        new TableRecords.SnapshotRecord(1, TableSnapshotCodec.write(log.table())), "e1"),
                START.toEpochMilli());
        Instant late = START.plus(MAX_AGE).plusMillis(1);
        SnapshotSchedule schedule = SnapshotSchedule.start()
                .evaluate(readAll(log), MAX_AGE, "e2", late)
                .schedule();
        assertTrue(schedule.evaluate(readAll(log), MAX_AGE, "e2", late.plus(SnapshotSchedule.MAX_DELAY))
                .write());
    }

    @Test
    public void processThatHasNotReadToTheEndWritesNothing() {
        InMemoryLog log = logWithOldEdit();
        TableReadState partialState = TableReadState.start().onPage(new LogBounds(0, 5), log.records);
        assertEquals(
                SnapshotSchedule.start()
                        .evaluate(partialState, MAX_AGE, "e2", START.plusSeconds(1))
                        .schedule()
                        .dueSince()
                        .isEmpty(),
                true);
    }
}
