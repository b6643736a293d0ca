package org.cornelramp.daemon.agent;

/**
 * Measures the speed of a backend server from what it did for this agent, as a moving mean over its recent work.
 * Confined to one thread.
 */
final class SpeedMeter {
    private static final double WEIGHT = 0.1;
    private static final double NANOS = 1e9;

    /**
     * Pieces of work after which the speed is told. The first ones pay for opened connections and cold code; told as
     * the speed, they made the choice refuse deadlines that could be met.
     */
    private static final int WARM_UP = 8;

    private double meanNanos;
    private double perSecond;
    private int pieces;

    /**
     * Notes one piece of work.
     *
     * @param units calls, or positions
     * @param nanos time that it took
     */
    void done(int units, long nanos) {
        if (++pieces <= WARM_UP) {
            return;
        }
        double took = Math.max(nanos, 1);
        double speed = units * NANOS / took;
        meanNanos = meanNanos == 0 ? took : meanNanos + WEIGHT * (took - meanNanos);
        perSecond = perSecond == 0 ? speed : perSecond + WEIGHT * (speed - perSecond);
    }

    /** Mean time of one piece of work, in microseconds; 0 while unknown. */
    long meanMicros() {
        return Math.round(meanNanos / 1_000);
    }

    /** Units a second of one piece of work; 0 while unknown. */
    double unitsPerSecond() {
        return perSecond;
    }
}
