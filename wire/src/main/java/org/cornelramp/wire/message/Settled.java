package org.cornelramp.wire.message;

/**
 * Says that a key asked for by {@link Settle} is still running; its {@link InvokeResult} follows.
 * Immutable, safe for use by any thread.
 *
 * @param call number of the question
 */
public record Settled(long call) implements Message {}
