package org.cornelramp.core.table;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * When this process should write a snapshot of the table to the log.
 *
 * <p>Whoever sees the need writes; there is no holder of the duty. A snapshot is due when the newest one is old,
 * lies far behind, or can no longer be used. Then each process waits a time of its own, drawn from its name so that
 * few draw a short one, and does not write if it reads another's snapshot before. Two writers are harmless, since
 * both snapshots are the same fold; the wait only keeps a thousand processes from appending at once after an outage.
 *
 * <p>Pure: each look gives a new state. Immutable, safe for use by any thread.
 *
 * @param dueSince when the need was first seen; empty if there is none
 * @param lastTry when this process last wrote
 */
public record SnapshotPlan(Optional<Instant> dueSince, Optional<Instant> lastTry) {
    /** Records behind the newest snapshot from which a new one is due; bounds what a fresh process must fold. */
    public static final long MAX_BEHIND = 1_000;
    /** Longest wait of one process. */
    public static final Duration SPREAD = Duration.ofSeconds(10);

    /** Most processes for which the waits are spread well. */
    private static final double PROCESSES = 10_000;
    /** Time in which an own snapshot should have been read back. */
    private static final Duration PATIENCE = Duration.ofSeconds(15);

    private static final double CRC_VALUES = 1L << 32;

    /** The plan of a process that has just started. */
    public static SnapshotPlan start() {
        return new SnapshotPlan(Optional.empty(), Optional.empty());
    }

    /**
     * What a look at the reading tells.
     *
     * @param plan the plan after the look
     * @param write whether to write a snapshot now
     */
    public record Step(SnapshotPlan plan, boolean write) {}

    /**
     * Looks at the reading.
     *
     * @param reading what was read of the log
     * @param maxAge age at which the newest snapshot is renewed
     * @param name name of this process
     * @param now the present time
     */
    public Step look(TableReading reading, Duration maxAge, String name, Instant now) {
        if (!isDue(reading, maxAge, now)) {
            return new Step(new SnapshotPlan(Optional.empty(), lastTry), false);
        }
        Instant since = dueSince.orElse(now);
        boolean waited = !now.isBefore(since.plus(waitOf(name, reading)));
        boolean patient = lastTry.isEmpty() || !now.isBefore(lastTry.get().plus(PATIENCE));
        boolean write = waited && patient;
        return new Step(new SnapshotPlan(Optional.of(since), write ? Optional.of(now) : lastTry), write);
    }

    /** Only one who has read to the end knows what is newest. */
    private static boolean isDue(TableReading reading, Duration maxAge, Instant now) {
        if (!reading.isAtEnd() || reading.isLogBehind() || reading.table().offset() == 0) {
            return false;
        }
        Optional<SnapshotMark> newest = reading.newestSnapshot();
        long covers = newest.map(SnapshotMark::covers).orElse(0L);
        boolean unusable = covers < reading.bounds().oldest();
        boolean behind = reading.table().offset() - covers > MAX_BEHIND;
        long at = newest.map(SnapshotMark::at).or(reading::firstAt).orElse(now.toEpochMilli());
        boolean old = now.toEpochMilli() - at > maxAge.toMillis();
        return unusable || behind || old;
    }

    /** Exponentially few processes draw a short wait, so that the first has been read before most would write. */
    private static Duration waitOf(String name, TableReading reading) {
        CRC32 crc = new CRC32();
        long covers = reading.newestSnapshot().map(SnapshotMark::covers).orElse(0L);
        crc.update((name + '@' + covers).getBytes(StandardCharsets.UTF_8));
        double draw = (crc.getValue() + 1) / (CRC_VALUES + 1);
        double part = Math.max(0, 1 + Math.log(draw) / Math.log(PROCESSES));
        return Duration.ofMillis((long) (SPREAD.toMillis() * part));
    }
}
