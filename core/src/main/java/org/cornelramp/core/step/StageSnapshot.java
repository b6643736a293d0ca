package org.cornelramp.core.step;

/**
 * State that a replacement needs from the stage that it replaces, besides the engine's KV cache. Immutable as long as
 * the array is not modified.
 *
 * @param position next position to run
 * @param outputs outputs of all positions before it
 */
public record StageSnapshot(int position, long[] outputs) {}
