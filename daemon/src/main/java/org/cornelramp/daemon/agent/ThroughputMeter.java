package org.cornelramp.daemon.agent;

/**
 * Measures the latency and throughput of a backend server as exponential moving averages over its work for this agent.
 * Confined to one thread.
 */
final class ThroughputMeter {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Number of first samples that are ignored. They include the cost of opening connections and of cold code; when
     * they counted, requests were refused whose deadlines could be met.
     */
    private static final int WARM_UP_SAMPLES = 8;

    /** Cap of one sample as a multiple of the mean, so that a pause of the machine does not dominate the average. */
    private static final double MAX_SAMPLE_RATIO = 4;

    /**
     * Time without work after which the averages count as unknown. A backend server that was slow gets no work whose
     * deadline it cannot meet at the reported speed, so without this no sample would show that it has recovered.
     */
    private static final long STALE_NANOS = 3_000_000_000L;

    private double meanNanos;
    private double perSecond;
    private int samples;
    private long lastNanos;

    /**
     * Records one completed call or batch.
     *
     * @param units calls, or positions
     * @param nanos time that it took
     * @param now the present time of the monotone clock, in nanoseconds
     */
    void recordSample(int units, long nanos, long now) {
        lastNanos = now;
        if (++samples <= WARM_UP_SAMPLES) {
            return;
        }
        double sampleNanos = Math.max(nanos, 1);
        sampleNanos = meanNanos == 0 ? sampleNanos : Math.min(sampleNanos, MAX_SAMPLE_RATIO * meanNanos);
        double rate = units * NANOS_PER_SECOND / sampleNanos;
        meanNanos = meanNanos == 0 ? sampleNanos : meanNanos + SMOOTHING_FACTOR * (sampleNanos - meanNanos);
        perSecond = perSecond == 0 ? rate : perSecond + SMOOTHING_FACTOR * (rate - perSecond);
    }

    /** Resets the averages if there was no sample within {@link #STALE_NANOS}. */
    void expireStale(long now) {
        if (meanNanos != 0 && now - lastNanos > STALE_NANOS) {
            meanNanos = 0;
            perSecond = 0;
        }
    }

    /** Mean time of one call or batch, in microseconds; 0 while unknown. */
    long meanMicros() {
        return Math.round(meanNanos / 1_000);
    }

    /** Units per second within one call or batch; 0 while unknown. */
    double unitsPerSecond() {
        return perSecond;
    }
}
