package org.cornelramp.core.burn;

/**
 * Requests that ended in a window. Immutable, safe for use by any thread.
 *
 * @param total all requests
 * @param bad those whose caller had no whole answer in time
 */
public record BurnCounts(long total, long bad) {
    /** No request. */
    public static final BurnCounts NONE = new BurnCounts(0, 0);

    /** The requests of both. */
    public BurnCounts plus(BurnCounts other) {
        return new BurnCounts(total + other.total, bad + other.bad);
    }

    /**
     * How many times faster failures come than the objective allows; 1 uses the allowance up just in time.
     *
     * @param objectivePercent share of requests that should be answered in time, above 0 and below 100
     */
    public double burnRate(double objectivePercent) {
        return total == 0 ? 0 : (double) bad / (double) total / (1 - objectivePercent / 100);
    }
}
