package org.cornelramp.core.table;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Decides when this process writes a snapshot of the table to the log.
 *
 * <p>Any process may write; there is no elected writer. A snapshot is due when the newest one is old, is many records
 * behind, or is no longer usable. Each process then waits for a delay that is derived from a hash of its name and of
 * the newest snapshot's offset, such that few processes get a short one, and does not write if it reads the snapshot of
 * another process in the meantime. Two writers are harmless, since both snapshots are the same fold; the delay only
 * prevents a thousand processes from appending at once after an outage.
 *
 * <p>Has no side effects: {@link #evaluate} returns a new state. Immutable, safe for use by any thread.
 *
 * @param dueSince time at which the snapshot was first seen to be due; empty if none is due
 * @param lastAttempt time at which this process last wrote a snapshot
 */
public record SnapshotSchedule(Optional<Instant> dueSince, Optional<Instant> lastAttempt) {
    /** Records since the newest snapshot above which a new one is due; bounds what a new process has to fold. */
    public static final long MAX_RECORDS_BEHIND = 1_000;
    /** Maximum delay of one process. */
    public static final Duration MAX_DELAY = Duration.ofSeconds(10);

    /** Maximum number of processes for which the delays are spread well. */
    private static final double SPREAD_PROCESSES = 10_000;
    /** Time within which this process should have read back its own snapshot; it does not write again before. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(15);

    private static final double CRC_VALUES = 1L << 32;

    /** The state of a process that has just started. */
    public static SnapshotSchedule start() {
        return new SnapshotSchedule(Optional.empty(), Optional.empty());
    }

    /**
     * Result of {@link #evaluate}.
     *
     * @param schedule the new state
     * @param write whether to write a snapshot now
     */
    public record Decision(SnapshotSchedule schedule, boolean write) {}

    /**
     * Decides whether to write a snapshot now.
     *
     * @param state what this process has read of the log
     * @param maxAge age at which the newest snapshot is renewed
     * @param name name of this process
     * @param now the current time
     */
    public Decision evaluate(TableReadState state, Duration maxAge, String name, Instant now) {
        if (!isDue(state, maxAge, now)) {
            return new Decision(new SnapshotSchedule(Optional.empty(), lastAttempt), false);
        }
        Instant newDueSince = dueSince.orElse(now);
        boolean delayPassed = !now.isBefore(newDueSince.plus(delayOf(name, state)));
        boolean mayRetry =
                lastAttempt.isEmpty() || !now.isBefore(lastAttempt.get().plus(RETRY_DELAY));
        boolean write = delayPassed && mayRetry;
        return new Decision(
                new SnapshotSchedule(Optional.of(newDueSince), write ? Optional.of(now) : lastAttempt), write);
    }

    /** Only a process that has read to the end of the log knows the newest snapshot. */
    private static boolean isDue(TableReadState state, Duration maxAge, Instant now) {
        if (!state.isAtEnd() || state.isLogBehind() || state.table().offset() == 0) {
            return false;
        }
        Optional<SnapshotPosition> newest = state.newestSnapshot();
        long coveredOffset = newest.map(SnapshotPosition::coveredOffset).orElse(0L);
        boolean isUnusable = coveredOffset < state.bounds().oldest();
        boolean isFarBehind = state.table().offset() - coveredOffset > MAX_RECORDS_BEHIND;
        long newestMillis = newest.map(SnapshotPosition::appendedAtMillis)
                .or(state::firstRecordMillis)
                .orElse(now.toEpochMilli());
        boolean isOld = now.toEpochMilli() - newestMillis > maxAge.toMillis();
        return isUnusable || isFarBehind || isOld;
    }

    /** Short delays are exponentially rare: most processes have read the first snapshot before they would write. */
    private static Duration delayOf(String name, TableReadState state) {
        CRC32 crc = new CRC32();
        long coveredOffset =
                state.newestSnapshot().map(SnapshotPosition::coveredOffset).orElse(0L);
        crc.update((name + '@' + coveredOffset).getBytes(StandardCharsets.UTF_8));
        double uniform = (crc.getValue() + 1) / (CRC_VALUES + 1);
        double fraction = Math.max(0, 1 + Math.log(uniform) / Math.log(SPREAD_PROCESSES));
        return Duration.ofMillis((long) (MAX_DELAY.toMillis() * fraction));
    }
}
