package org.cornelramp.bench.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelramp.bench.fleet.StagePlan;

/**
 * Upper bound of the request rate of engines of known speeds, with every iteration full and none wasted. Immutable,
 * safe for use by any thread.
 *
 * <p>At every stage, a request takes a slot in one iteration for its prompt and in one more for each further token. Its
 * cost at an engine is its share of the base time of these iterations plus the time of its inputs. The stage with the
 * lowest sum of rates over its engines bounds the rate.
 */
public final class EngineBound {
    private static final double MICROS_PER_SECOND = 1e6;

    private final List<StagePlan> engines;
    private final int slots;

    /**
     * @param engines the engines of all stages
     * @param slots sessions in one iteration of each
     */
    public EngineBound(List<StagePlan> engines, int slots) {
        this.engines = List.copyOf(engines);
        this.slots = slots;
    }

    /** Requests per second, if all have prompts of one length and answers of one length, both in tokens. */
    public double requestsPerSecond(int promptTokens, int tokens) {
        Map<String, Double> byRange = new TreeMap<>();
        for (StagePlan engine : engines) {
            double inputs = promptTokens + tokens - 1.0;
            double micros = (double) tokens * engine.baseMicros() / slots + inputs * engine.inputMicros();
            byRange.merge(engine.layers(), MICROS_PER_SECOND / micros, Double::sum);
        }
        return byRange.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    }
}
