package org.cornelramp.wire.message;

/**
 * Asks a leaving stage for its KV cache, so that a replacement can start from it. The stage runs no further step.
 * Immutable, safe for use by any thread.
 *
 * @param session the session
 * @param epoch the epoch
 */
public record ExportStage(long session, int epoch) implements Message {}
