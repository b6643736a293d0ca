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

    /** A pause of the machine is not its speed: one piece of work counts as at most so many times the mean. */
    private static final double MOST_RATIO = 4;

    /**
     * Time without work after which the speed counts as unknown again. A backend server that was slow once is given
     * no work that its told speed cannot do in time, so without this it would never show that it has recovered.
     */
    private static final long STALE_NANOS = 3_000_000_000L;

    private double meanNanos;
    private double perSecond;
    private int pieces;
    private long lastNanos;

    /**
     * Notes one piece of work.
     *
     * @param units calls, or positions
     * @param nanos time that it took
     * @param now the present time of the monotone clock, in nanoseconds
     */
    void done(int units, long nanos, long now) {
        lastNanos = now;
        if (++pieces <= WARM_UP) {
            return;
        }
        double took = Math.max(nanos, 1);
        took = meanNanos == 0 ? took : Math.min(took, MOST_RATIO * meanNanos);
        double speed = units * NANOS / took;
        meanNanos = meanNanos == 0 ? took : meanNanos + WEIGHT * (took - meanNanos);
        perSecond = perSecond == 0 ? speed : perSecond + WEIGHT * (speed - perSecond);
    }

    /** Forgets the speed if it has not been seen for a while. */
    void age(long now) {
        if (meanNanos != 0 && now - lastNanos > STALE_NANOS) {
            meanNanos = 0;
            perSecond = 0;
        }
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
