package org.cornelramp.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.DataCentre;

/**
 * Demand of each data centre in relation to the mean of all, smoothed and with hysteresis. Owned by one thread.
 *
 * <p>Invariant: a factor differs from the smoothed ratio by at most {@link #BAND}, apart from the bounds. There are no
 * factors until the demand of the same data centres has been observed for {@link #WARM_UP_MILLIS}.
 */
public final class DemandFactors {
    /** A wave of 15 s and 55% changes a mean over 60 s by about 2%; with 30 s it would be over 4%. */
    private static final long SMOOTHING_MILLIS = 60_000;

    /** Four periods of a 15 s wave: over less, the mean still depends on the phase at which observation started. */
    static final long WARM_UP_MILLIS = 60_000;

    /**
     * Change of the ratio that changes the factor. One of three data centres with a fifth more demand than the others
     * has a ratio of 1.125; the remainder of a smoothed 15 s wave stays below 0.04.
     */
    static final double BAND = 0.08;

    /** More copies leave less memory for requests, which a data centre with much demand also needs. */
    private static final double MAX_FACTOR = 1.3;

    private final Map<DataCentre, Double> smoothed = new HashMap<>();
    private final Map<DataCentre, Double> factors = new HashMap<>();
    private long startedMillis;
    private long updatedMillis;

    /**
     * Records the present arrival rates and returns the factors.
     *
     * @param arrivals requests per second by data centre; empty if no gateway reports demand
     */
    public Map<DataCentre, Double> update(Map<DataCentre, Double> arrivals, long nowMillis) {
        if (!arrivals.keySet().equals(smoothed.keySet())) {
            smoothed.clear();
            factors.clear();
            smoothed.putAll(arrivals);
            startedMillis = nowMillis;
            updatedMillis = nowMillis;
        }
        // Until the smoothing time has passed this is the plain mean, so that the first rates have no greater weight.
        long window = Math.min(SMOOTHING_MILLIS, nowMillis - startedMillis);
        double weight = window == 0 ? 0 : Math.min(1.0, (double) (nowMillis - updatedMillis) / window);
        smoothed.replaceAll((at, before) -> before + weight * (arrivals.get(at) - before));
        updatedMillis = nowMillis;
        double mean = smoothed.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        if (mean > 0 && nowMillis - startedMillis >= WARM_UP_MILLIS) {
            smoothed.forEach((at, rate) -> adjust(at, Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, rate / mean))));
        }
        return factors();
    }

    /** The factors as of the last rates; without data centres whose factor is still 1. */
    public Map<DataCentre, Double> factors() {
        return Map.copyOf(factors);
    }

    private void adjust(DataCentre at, double ratio) {
        if (Math.abs(ratio - factors.getOrDefault(at, 1.0)) > BAND) {
            factors.put(at, ratio);
        }
    }
}
