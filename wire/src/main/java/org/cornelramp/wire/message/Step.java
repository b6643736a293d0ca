package org.cornelramp.wire.message;

/**
 * Carries the inputs of consecutive positions to a stage. The stage runs them only at its own next position;
 * it drops positions that it has already run, and refuses a gap or an older epoch.
 *
 * @param session the session
 * @param epoch the epoch
 * @param position position of the first input
 * @param inputs one activation for each position; for the first stage, token numbers
 */
public record Step(long session, int epoch, int position, long[] inputs) implements Message {}
