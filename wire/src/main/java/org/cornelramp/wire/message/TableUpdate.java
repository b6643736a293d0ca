package org.cornelramp.wire.message;

/**
 * Carries a whole table to a peer, which applies it only if its offset is above its own.
 * Immutable, safe for use by any thread.
 *
 * @param offset offset that the table covers
 * @param snapshot the table, encoded by the snapshot codec
 */
public record TableUpdate(long offset, byte[] snapshot) implements Message {}
