package org.cornelramp.wire.link;

/**
 * Bounds and intervals of links. Immutable, safe for use by any thread.
 *
 * @param heartbeatMillis interval of heartbeats; three without a frame and the link is dead
 * @param frameBytes largest frame
 * @param outBytes most bytes that wait on one link; beyond, a send is refused
 * @param backoffBaseMillis first wait before a link is connected again
 * @param backoffCapMillis longest wait before a link is connected again
 */
public record LinkOptions(
        long heartbeatMillis, int frameBytes, long outBytes, long backoffBaseMillis, long backoffCapMillis) {
    private static final long BACKOFF_BASE_MILLIS = 20;
    private static final long BACKOFF_CAP_MILLIS = 1_000;

    /** The options that follow from a heartbeat interval and a frame bound. */
    public static LinkOptions of(long heartbeatMillis, int frameBytes) {
        return new LinkOptions(heartbeatMillis, frameBytes, 2L * frameBytes, BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS);
    }

    /** These options with another bound on what waits on one link. */
    public LinkOptions withOutBytes(long bytes) {
        return new LinkOptions(heartbeatMillis, frameBytes, bytes, backoffBaseMillis, backoffCapMillis);
    }
}
