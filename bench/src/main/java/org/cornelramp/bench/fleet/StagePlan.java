package org.cornelramp.bench.fleet;

/**
 * The engine of one stage. Immutable, safe for use by any thread.
 *
 * @param layers layers as {@code from:to:total}
 * @param accelerator kind of accelerator
 * @param baseMicros time of one iteration, in microseconds
 * @param inputMicros time of one more input in an iteration, in microseconds
 */
public record StagePlan(String layers, String accelerator, int baseMicros, int inputMicros) {}
