package org.cornelramp.core.fleet;

/**
 * Mean of recent observations. The weight of a new observation rises with the time since the previous one, so a process
 * that sees a few answers in a minute follows a change as fast as a busy one. Owned by one thread.
 */
final class RecentMean {
    /** Least weight of the newest observation, so that a busy process averages over about the last ten. */
    private static final double MIN_WEIGHT = 0.1;

    /** Time in which half of an observation is forgotten, in milliseconds: faults of a server last some seconds. */
    private static final double FORGET_HALF_LIFE_MILLIS = 20_000;

    private final double learnHalfLifeMillis;
    private double mean;
    private long observedMillis;
    private boolean observed;

    /** @param learnHalfLifeMillis time after which a new observation gets half of the weight, in milliseconds */
    RecentMean(double learnHalfLifeMillis) {
        this.learnHalfLifeMillis = learnHalfLifeMillis;
    }

    /** Whether there has been an observation. */
    boolean isObserved() {
        return observed;
    }

    /** Adds an observation. */
    void record(double value, long nowMillis) {
        double elapsed = Math.max(0, nowMillis - observedMillis);
        double weight = observed ? Math.max(MIN_WEIGHT, 1 - Math.pow(2, -elapsed / learnHalfLifeMillis)) : 1;
        mean += weight * (value - mean);
        observedMillis = nowMillis;
        observed = true;
    }

    /** The mean as of the last observation; 0 without any. */
    double mean() {
        return mean;
    }

    /** Weight of the mean against what is expected without observations: 1 just after one, then falling to 0. */
    double weight(long nowMillis) {
        return observed ? Math.pow(2, -Math.max(0, nowMillis - observedMillis) / FORGET_HALF_LIFE_MILLIS) : 0;
    }
}
