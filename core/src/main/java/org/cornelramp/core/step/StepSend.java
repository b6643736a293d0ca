package org.cornelramp.core.step;

/**
 * Outputs to send. Immutable if the array is not changed.
 *
 * @param position position of the first output
 * @param outputs the outputs of consecutive positions
 */
public record StepSend(int position, long[] outputs) {}
