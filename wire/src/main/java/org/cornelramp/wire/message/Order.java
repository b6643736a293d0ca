package org.cornelramp.wire.message;

import org.cornelramp.core.model.OrderKind;

/**
 * Gives an order to the engine beside an agent, which passes it on only if it knows no newer term.
 * Immutable, safe for use by any thread.
 *
 * @param call number of the order on this link, echoed in the {@link OrderResult}
 * @param term fencing number of the holder that gives the order: the offset of its claim on the log
 * @param kind what to do
 * @param argument model, adapter, version or role
 */
public record Order(long call, long term, OrderKind kind, String argument) implements Message {}
