package org.cornelramp.bench.load;

/**
 * One booking at the plain service. Immutable, safe for use by any thread.
 *
 * @param organisation number of the organisation
 * @param entry index of the entry that is tried first
 * @param body JSON body
 * @param deadlineMillis time allowed, in milliseconds
 */
public record ServiceCallPlan(int organisation, int entry, String body, long deadlineMillis) {}
