package org.cornelramp.wire.message;

/**
 * Asks a peer for its table, when the log cannot be read or the peer has a newer one.
 * Immutable, safe for use by any thread.
 *
 * @param above offset of the sender's table; a peer without a newer one does not answer
 */
public record TableRequest(long above) implements Message {}
