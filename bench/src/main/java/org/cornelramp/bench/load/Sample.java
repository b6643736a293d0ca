package org.cornelramp.bench.load;

/**
 * One request as its caller saw it. Immutable, safe for use by any thread.
 *
 * <p>Times are of {@link System#nanoTime}. Delays are measured from the planned time and not from the sending, so that
 * a generator that falls behind shows in them.
 *
 * @param organisation number of the organisation
 * @param plannedNanos when the request was due
 * @param firstNanos when the first token or byte of the answer came; 0 if none did
 * @param endNanos when the final answer came or the request failed
 * @param end how it ended
 * @param tokens generated tokens in the answer; 0 for a plain service
 * @param attempts times that the caller sent it
 * @param detail kind of the problem, cause of the failure or wrong part of the answer; empty for a correct answer
 */
public record Sample(
        int organisation,
        long plannedNanos,
        long firstNanos,
        long endNanos,
        CallEnd end,
        int tokens,
        int attempts,
        String detail) {}
