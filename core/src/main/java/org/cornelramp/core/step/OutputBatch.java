package org.cornelramp.core.step;

/**
 * Outputs to send to the next stage. Immutable as long as the array is not modified.
 *
 * @param position position of the first output
 * @param outputs the outputs of consecutive positions
 */
public record OutputBatch(int position, long[] outputs) {}
