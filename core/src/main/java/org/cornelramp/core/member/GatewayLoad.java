package org.cornelramp.core.member;

/**
 * Measured load of this gateway. Immutable, safe for use by any thread.
 *
 * @param processorShare share used of the processor time that this process may use, over about a second
 * @param lagMillis delay of the router's ticks that lasted for two measurements
 * @param requests largest number of requests in progress at the last two measurements
 */
public record GatewayLoad(double processorShare, long lagMillis, int requests) {
    /**
     * Delay that adds 1 to the load. A process with a fifth of a core is stopped for up to 80 ms of each 100 ms as soon
     * as it has used its time, which adds 0.2.
     */
    private static final double LAG_SCALE_MILLIS = 400;

    /**
     * The load as one number: the share of processor time, which cannot exceed 1 by much, plus up to 1 for the delay,
     * which tells a full gateway from an overloaded one.
     */
    public double value() {
        return processorShare + Math.min(1, lagMillis / LAG_SCALE_MILLIS);
    }
}
