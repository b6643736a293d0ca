package org.cornelramp.wire.link;

/**
 * Decides by time alone when a heartbeat is due and when a link counts as dead. Confined to one thread.
 *
 * <p>A connection can go silent for good while TCP still calls it open, because something between the two ends has
 * lost track of it: requests on it would wait for ever. Both ends send heartbeats, so three intervals without one
 * frame mean that nothing passes any more. Times are of a monotone clock, in nanoseconds.
 */
final class SilenceDetector {
    /** Heartbeats that may be missed. */
    static final int INTERVALS = 3;

    private final long intervalNanos;
    private long heardAt;
    private long progressAt;
    private long nextBeatAt;

    SilenceDetector(long intervalNanos, long now) {
        this.intervalNanos = intervalNanos;
        this.heardAt = now;
        this.progressAt = now;
        this.nextBeatAt = now + intervalNanos;
    }

    /** Notes that bytes of the peer came. */
    void heard(long now) {
        heardAt = now;
    }

    /** Notes that the peer takes what is sent, or that nothing waits for it. */
    void progressed(long now) {
        progressAt = now;
    }

    /** Whether the peer has been silent for three intervals. */
    boolean isSilent(long now) {
        return now - heardAt >= INTERVALS * intervalNanos;
    }

    /** Whether bytes have waited for three intervals without the peer taking any: it talks, and does not listen. */
    boolean isStalled(long now) {
        return now - progressAt >= INTERVALS * intervalNanos;
    }

    /** Whether a heartbeat is due; if so, the next is due an interval later. */
    boolean takeBeat(long now) {
        if (now - nextBeatAt < 0) {
            return false;
        }
        nextBeatAt = now + intervalNanos;
        return true;
    }
}
