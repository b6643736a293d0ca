package org.cornelramp.wire.message;

/**
 * Asks a peer for its table, when the log cannot be read or the peer applies a newer one.
 * Immutable, safe for use by any thread.
 *
 * @param above offset that the asker applies; a peer with nothing newer does not answer
 */
public record TableRequest(long above) implements Message {}
