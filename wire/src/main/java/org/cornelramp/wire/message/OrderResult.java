package org.cornelramp.wire.message;

/**
 * Reports the outcome of an {@link Order}. Immutable, safe for use by any thread.
 *
 * @param call number of the order that this answers
 * @param outcome outcome of the order
 * @param newest newest term that the agent knows
 * @param detail why the order was not accepted, in one sentence; empty if it was accepted
 */
public record OrderResult(long call, OrderOutcome outcome, long newest, String detail) implements Message {}
