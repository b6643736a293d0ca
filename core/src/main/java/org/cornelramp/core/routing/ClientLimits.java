package org.cornelramp.core.routing;

/**
 * What a client may send, and how long it may take. Immutable, safe for use by any thread.
 *
 * @param headerBytes largest head
 * @param bodyBytes largest body
 * @param headerMillis longest time for a head to arrive
 * @param idleMillis longest time that a connection may stay idle
 */
public record ClientLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Holds until a configuration is known: ordinary bounds of an HTTP server. */
    public static final ClientLimits DEFAULTS = new ClientLimits(16_384, 4_194_304, 5_000, 30_000);
}
