package org.cornelramp.wire.message;

import org.cornelramp.core.model.Incarnation;

/**
 * Asks an agent what became of a key after the link that carried its call was lost.
 *
 * <p>With {@code cancel}, a key that has not started is set to never run, and the agent says so; a key that
 * runs is answered when it ends. Either way the answer is an {@link InvokeResult}; a {@link Settled} says
 * at once that the key still runs.
 *
 * @param call number under which the answer comes
 * @param key the idempotency key
 * @param bound the incarnation that the key is bound to
 * @param cancel whether a key that has not started must never run
 */
public record Settle(long call, String key, Incarnation bound, boolean cancel) implements Message {}
