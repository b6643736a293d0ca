package org.cornelramp.core.step;

/**
 * What a replacement needs from the stage that it takes over, beside the engine's KV cache. Immutable if the array
 * is not changed.
 *
 * @param position next position
 * @param outputs outputs of all positions before it
 */
public record StageSnapshot(int position, long[] outputs) {}
