package org.cornelramp.core.step;

/**
 * Inputs that the engine runs in one step. Immutable as long as the array is not modified.
 *
 * @param position position of the first input
 * @param inputs the inputs of consecutive positions
 */
public record InputBatch(int position, long[] inputs) {}
