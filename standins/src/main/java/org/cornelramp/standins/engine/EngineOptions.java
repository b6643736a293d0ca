package org.cornelramp.standins.engine;

import org.cornelramp.core.model.LayerRange;

/**
 * Properties of an engine. Immutable, safe for use by any thread.
 *
 * @param model name of the model
 * @param layers layers that the engine holds
 * @param version model version that is loaded at the start
 * @param accelerator kind of accelerator
 * @param slots maximum number of sessions in one iteration
 * @param baseMicros time of one iteration without its inputs, in microseconds
 * @param inputMicros additional time for each input, in microseconds
 * @param kvLimit capacity of the KV cache in positions, over all sessions
 * @param checkTerms whether orders with an older term than the newest seen are rejected
 * @param reportLagMillis lag of the load report, in milliseconds
 */
public record EngineOptions(
        String model,
        LayerRange layers,
        String version,
        String accelerator,
        int slots,
        long baseMicros,
        long inputMicros,
        long kvLimit,
        boolean checkTerms,
        long reportLagMillis) {}
