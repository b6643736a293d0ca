package org.cornelramp.wire.message;

import org.cornelramp.core.model.Incarnation;

/**
 * Asks an agent for the outcome of a key after the link that carried its call was lost.
 *
 * <p>With {@code cancel}, a key that has not started is prevented from ever running, and the agent reports that; a key
 * that is running is answered when it ends. In both cases the answer is an {@link InvokeResult}; a {@link Settled}
 * reports immediately that the key is still running.
 *
 * @param call number of this request on this link, echoed in the answer
 * @param key the idempotency key
 * @param bound the incarnation that the key is bound to
 * @param cancel whether a key that has not started must never run
 */
public record Settle(long call, String key, Incarnation bound, boolean cancel) implements Message {}
