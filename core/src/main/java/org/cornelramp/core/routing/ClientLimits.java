package org.cornelramp.core.routing;

/**
 * Limits on the size and the timing of client requests. Immutable, safe for use by any thread.
 *
 * @param headerBytes maximum size of a request head, in bytes
 * @param bodyBytes maximum size of a request body, in bytes
 * @param headerMillis maximum time for a head to arrive, in milliseconds
 * @param idleMillis maximum idle time of a connection, in milliseconds
 */
public record ClientLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Limits until a configuration is read: usual values for an HTTP server. */
    public static final ClientLimits DEFAULTS = new ClientLimits(16_384, 4_194_304, 5_000, 30_000);
}
