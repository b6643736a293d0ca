package org.cornelramp.wire.message;

/**
 * Says what became of an {@link Order}. Immutable, safe for use by any thread.
 *
 * @param call number of the order that this answers
 * @param outcome what became of it
 * @param newest newest term that the agent knows
 * @param detail one sentence on why the order was not taken; empty if it was
 */
public record OrderResult(long call, OrderOutcome outcome, long newest, String detail) implements Message {}
