package org.cornelramp.wire.link;

/**
 * Decides by time alone when a heartbeat is due and when a link is dead. Confined to one thread.
 *
 * <p>A connection can stop carrying data while TCP still reports it as open, because a middlebox has lost its state;
 * requests on it would wait for ever. Both ends send heartbeats, so three intervals without a frame mean that the
 * connection is dead. Times are of a monotonic clock, in nanoseconds.
 */
final class SilenceDetector {
    /** Number of heartbeat intervals without a frame after which a link is dead. */
    static final int MAX_SILENT_INTERVALS = 3;

    private final long intervalNanos;
    private long lastReceivedAt;
    private long lastProgressAt;
    private long nextHeartbeatAt;

    SilenceDetector(long intervalNanos, long now) {
        this.intervalNanos = intervalNanos;
        this.lastReceivedAt = now;
        this.lastProgressAt = now;
        this.nextHeartbeatAt = now + intervalNanos;
    }

    /** Records that the peer has sent a frame. */
    void recordReceived(long now) {
        lastReceivedAt = now;
    }

    /** Records that the peer reads what is sent, or that nothing is unsent. */
    void recordProgress(long now) {
        lastProgressAt = now;
    }

    /** Whether the peer has sent nothing for three intervals. */
    boolean isSilent(long now) {
        return now - lastReceivedAt >= MAX_SILENT_INTERVALS * intervalNanos;
    }

    /** Whether the peer has read nothing for three intervals; it may still send heartbeats itself. */
    boolean isStalled(long now) {
        return now - lastProgressAt >= MAX_SILENT_INTERVALS * intervalNanos;
    }

    /** Whether a heartbeat is due; if so, schedules the next one an interval later. */
    boolean pollHeartbeatDue(long now) {
        if (now - nextHeartbeatAt < 0) {
            return false;
        }
        nextHeartbeatAt = now + intervalNanos;
        return true;
    }
}
