package org.cornelramp.core.settings;

/**
 * Intervals and timeouts, all in milliseconds. Immutable, safe for use by any thread.
 *
 * @param heartbeatMillis interval of heartbeats on a link; a link counts as dead after three silent intervals
 * @param vmListMillis interval at which the VM list is read
 * @param drainMillis maximum time that a planned stop waits for requests in progress
 * @param backendTimeoutMillis time without a response after which a backend server counts as down
 * @param keyWindowMillis age above which an idempotency key is refused; must be below the log's retention
 * @param snapshotMillis age at which the newest table snapshot on the log is renewed; must be below a third of the
 *     log's retention
 */
public record TimingSettings(
        long heartbeatMillis,
        long vmListMillis,
        long drainMillis,
        long backendTimeoutMillis,
        long keyWindowMillis,
        long snapshotMillis) {
    /** The timing used where the settings specify none. */
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
