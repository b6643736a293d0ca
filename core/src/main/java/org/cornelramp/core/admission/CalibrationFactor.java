package org.cornelramp.core.admission;

/**
 * Exponentially weighted ratio of observed to predicted times. Without observations it returns to 1 with a half-life of
 * 10 s, since a service without streams gives no sign that its engines have recovered. Owned by one thread.
 */
final class CalibrationFactor {
    private static final double MIN = 0.25;
    private static final double MAX = 20;
    private static final double HALF_LIFE_MILLIS = 10_000;

    /** Averages over about the last ten observations. */
    private static final double LATEST_WEIGHT = 0.1;

    private double factor = 1;
    private long updatedMillis;

    /** Records an observation; one with a prediction or a time that is not positive and finite is ignored. */
    void record(double predictedMillis, double observedMillis, long nowMillis) {
        double ratio = observedMillis / predictedMillis;
        if (!(predictedMillis > 0) || !(observedMillis > 0) || !Double.isFinite(ratio)) {
            return;
        }
        double before = value(nowMillis);
        factor = before + LATEST_WEIGHT * (Math.min(MAX, Math.max(MIN, ratio)) - before);
        updatedMillis = nowMillis;
    }

    double value(long nowMillis) {
        double halfLives = Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS;
        return 1 + (factor - 1) * Math.pow(0.5, halfLives);
    }
}
