package org.cornelramp.wire.message;

/**
 * States that a key asked for by {@link Settle} is still running; its {@link InvokeResult} follows.
 * Immutable, safe for use by any thread.
 *
 * @param call number of the {@link Settle} that this answers
 */
public record Settled(long call) implements Message {}
