package org.cornelramp.wire.link;

/**
 * Bounds and intervals of links. Immutable, safe for use by any thread.
 *
 * @param heartbeatMillis interval of heartbeats; a link is dead after three intervals without a frame
 * @param frameBytes largest frame in bytes
 * @param maxUnsentBytes largest number of unsent bytes on one link; a send that would exceed it is refused
 * @param backoffBaseMillis first delay before reconnecting
 * @param backoffCapMillis longest delay before reconnecting
 */
public record LinkOptions(
        long heartbeatMillis, int frameBytes, long maxUnsentBytes, long backoffBaseMillis, long backoffCapMillis) {
    private static final long BACKOFF_BASE_MILLIS = 20;
    private static final long BACKOFF_CAP_MILLIS = 1_000;

    /** Options with default backoff, and an output buffer of two frames. */
    public static LinkOptions of(long heartbeatMillis, int frameBytes) {
        return new LinkOptions(heartbeatMillis, frameBytes, 2L * frameBytes, BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS);
    }

    /** A copy with another bound on the unsent bytes of one link. */
    public LinkOptions withMaxUnsentBytes(long bytes) {
        return new LinkOptions(heartbeatMillis, frameBytes, bytes, backoffBaseMillis, backoffCapMillis);
    }
}
