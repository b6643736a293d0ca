package org.cornelramp.wire.message;

import org.cornelramp.core.model.OrderKind;

/**
 * Sends an order to the engine beside an agent; the agent forwards it only if it knows no newer term.
 * Immutable, safe for use by any thread.
 *
 * @param call number of the order on this link, echoed in the {@link OrderResult}
 * @param term fencing token of the sender: the offset of its claim in the log
 * @param kind operation
 * @param argument model, adapter, version or role
 */
public record Order(long call, long term, OrderKind kind, String argument) implements Message {}
