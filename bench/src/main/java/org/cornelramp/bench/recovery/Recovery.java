package org.cornelramp.bench.recovery;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;
import org.cornelramp.bench.load.Samples;

/**
 * The effect of one fault on the callers. Immutable if the map is not changed.
 *
 * @param millis time from the fault until the last moment at which the rate of prompt answers could still be
 *     below {@value #RECOVERED_SHARE} of the rate of due requests; 0 if it never was
 * @param promptMillis time within which an answer counts as prompt: the steady 99th percentile and a margin
 * @param worstMillis longest time of any answer to a request that was due around the fault
 * @param ends how the requests ended that were due around the fault
 * @param details number of requests by the problem that their callers got
 */
record Recovery(
        double millis, double promptMillis, double worstMillis, Map<String, Long> ends, Map<String, Long> details) {
    /** Share of the steady rate that counts as recovered. */
    static final double RECOVERED_SHARE = 0.95;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long BUCKET_NANOS = 250 * NANOS_PER_MILLI;
    private static final long MARGIN_MILLIS = 100;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int TAIL = 99;

    /**
     * Computes the recovery. A request counts at the time at which it was due, so that a burst of late answers does not
     * compensate for a gap.
     *
     * @param steady requests due before the fault
     * @param around requests due from shortly before the fault on
     * @param faultNanos time of the fault
     */
    static Recovery of(List<Sample> steady, List<Sample> around, long faultNanos) {
        double prompt =
                Samples.completeAnswerTimes(steady).getValueAtPercentile(TAIL) / MICROS_PER_MILLI + MARGIN_MILLIS;
        long lastBad = Long.MIN_VALUE;
        long first = around.stream().mapToLong(Sample::plannedNanos).min().orElse(faultNanos);
        long last = around.stream().mapToLong(Sample::plannedNanos).max().orElse(faultNanos);
        for (long from = first; from <= last; from += BUCKET_NANOS) {
            if (isBelowRecoveredShare(around, from, prompt)) {
                lastBad = from + BUCKET_NANOS;
            }
        }
        double millis = lastBad == Long.MIN_VALUE ? 0 : (lastBad - faultNanos) / (double) NANOS_PER_MILLI + prompt;
        Histogram whole = Samples.completeAnswerTimes(around);
        return new Recovery(
                Math.max(0, millis),
                prompt,
                whole.getMaxValue() / MICROS_PER_MILLI,
                Samples.countsByEnd(around),
                Samples.countsByDetail(around));
    }

    /** Number of requests without a complete, correct answer before their deadline. */
    long lost() {
        return ends.entrySet().stream()
                .filter(end -> !end.getKey().equalsIgnoreCase(CallEnd.IN_TIME.name()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private static boolean isBelowRecoveredShare(List<Sample> samples, long from, double promptMillis) {
        long due = 0;
        long prompt = 0;
        for (Sample sample : samples) {
            if (sample.plannedNanos() >= from && sample.plannedNanos() < from + BUCKET_NANOS) {
                due++;
                double durationMillis = (sample.endNanos() - sample.plannedNanos()) / (double) NANOS_PER_MILLI;
                prompt += sample.end() == CallEnd.IN_TIME && durationMillis <= promptMillis ? 1 : 0;
            }
        }
        return prompt < RECOVERED_SHARE * due;
    }
}
