package org.cornelramp.bench.load;

/**
 * One chat request. Immutable, safe for use by any thread.
 *
 * @param organisation number of the organisation
 * @param entry index of the entry that is tried first
 * @param content content of the only message
 * @param maxTokens tokens to generate
 * @param deadlineMillis time allowed, in milliseconds
 */
public record ChatCall(int organisation, int entry, String content, int maxTokens, long deadlineMillis) {}
