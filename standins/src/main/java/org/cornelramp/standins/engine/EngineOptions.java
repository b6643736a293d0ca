package org.cornelramp.standins.engine;

import org.cornelramp.core.model.LayerRange;

/**
 * What an engine is like. Immutable, safe for use by any thread.
 *
 * @param model the model
 * @param layers layers held
 * @param version version loaded at the start
 * @param accelerator kind of accelerator
 * @param slots sessions in one iteration
 * @param baseMicros time of one iteration without its inputs, in microseconds
 * @param inputMicros added time for each input, in microseconds
 * @param kvLimit positions that the KV cache holds, over all sessions
 * @param checkTerms whether orders of an older term are refused
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
