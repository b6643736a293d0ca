package org.cornelramp.core.admission;

import org.cornelramp.core.model.Problem;

/**
 * A request that the queue gives up, with its final answer: it did not run. Immutable, safe for use by any thread.
 *
 * @param waiting the request
 * @param problem why, and when to come back
 */
public record Refusal<T>(Waiting<T> waiting, Problem problem) {}
