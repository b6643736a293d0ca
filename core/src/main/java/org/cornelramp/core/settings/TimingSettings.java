package org.cornelramp.core.settings;

/**
 * Intervals and timeouts, all in milliseconds. Immutable, safe for use by any thread.
 *
 * @param heartbeatMillis interval of heartbeats on a link; a link silent for three is dead
 * @param vmListMillis interval at which the VM list is read
 * @param drainMillis longest time that a planned stop waits for work in progress
 * @param backendTimeoutMillis longest silence of a backend server before it counts as down
 * @param keyWindowMillis age at which an idempotency key is refused; keep it below the log's retention
 * @param snapshotMillis age at which the newest table snapshot on the log is renewed; keep it below a third of the
 *     log's retention
 */
public record TimingSettings(
        long heartbeatMillis,
        long vmListMillis,
        long drainMillis,
        long backendTimeoutMillis,
        long keyWindowMillis,
        long snapshotMillis) {
    /** The timing used where the settings name none. */
    public static final TimingSettings DEFAULTS = new TimingSettings(150, 500, 60_000, 2_000, 3_600_000, 600_000);

    /** Timing with the default age of table snapshots. */
    public TimingSettings(
            long heartbeatMillis,
            long vmListMillis,
            long drainMillis,
            long backendTimeoutMillis,
            long keyWindowMillis) {
        this(
                heartbeatMillis,
                vmListMillis,
                drainMillis,
                backendTimeoutMillis,
                keyWindowMillis,
                DEFAULTS.snapshotMillis());
    }
}
