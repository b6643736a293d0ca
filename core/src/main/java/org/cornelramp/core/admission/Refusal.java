package org.cornelramp.core.admission;

import org.cornelramp.core.model.Problem;

/**
 * A request that the queue dropped before it ran, with its final answer. Immutable, safe for use by any thread.
 *
 * @param queuedRequest the request
 * @param problem the reason, and when to retry
 */
public record Refusal<T>(QueuedRequest<T> queuedRequest, Problem problem) {}
