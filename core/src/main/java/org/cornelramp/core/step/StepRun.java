package org.cornelramp.core.step;

/**
 * Inputs to run at the engine now. Immutable if the array is not changed.
 *
 * @param position position of the first input
 * @param inputs the inputs of consecutive positions
 */
public record StepRun(int position, long[] inputs) {}
