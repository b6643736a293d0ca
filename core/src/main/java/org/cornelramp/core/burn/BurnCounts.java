package org.cornelramp.core.burn;

/**
 * Requests that ended in a window. Immutable, safe for use by any thread.
 *
 * @param total all requests
 * @param bad those whose caller did not get a complete answer in time
 */
public record BurnCounts(long total, long bad) {
    /** No requests. */
    public static final BurnCounts NONE = new BurnCounts(0, 0);

    /** The sum of both counts. */
    public BurnCounts plus(BurnCounts other) {
        return new BurnCounts(total + other.total, bad + other.bad);
    }

    /**
     * The failure rate as a multiple of the rate that the objective allows; at 1 the error budget lasts exactly its period.
     *
     * @param objectivePercent share of requests that should be answered in time, above 0 and below 100
     */
    public double burnRate(double objectivePercent) {
        return total == 0 ? 0 : (double) bad / (double) total / (1 - objectivePercent / 100);
    }
}
