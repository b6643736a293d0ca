package org.cornelramp.bench.throughput;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.cornelramp.bench.load.Sample;
import org.cornelramp.bench.load.Samples;

/**
 * Throughput and latency with one policy for choosing backend servers. Immutable if the maps are not changed.
 *
 * @param tokensPerSecond tokens in whole, in-deadline answers that ended in the window
 * @param ratio {@code tokensPerSecond} divided by the bound of the engines
 * @param firstTokenP50Millis median time to the first token
 * @param firstTokenP99Millis 99th percentile of the time to the first token
 * @param wholeP50Millis median time to the whole answer
 * @param ends how all requests ended
 * @param details number of requests by their problem
 */
record PolicyResult(
        double tokensPerSecond,
        double ratio,
        double firstTokenP50Millis,
        double firstTokenP99Millis,
        double wholeP50Millis,
        Map<String, Long> ends,
        Map<String, Long> details) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int MEDIAN = 50;
    private static final int TAIL = 99;

    /** Summarises the requests that ended in a window; they were due in it or before. */
    static PolicyResult of(List<Sample> all, long fromNanos, long toNanos, double boundTokens) {
        List<Sample> ended = all.stream()
                .filter(sample -> sample.endNanos() - fromNanos >= 0 && sample.endNanos() - toNanos < 0)
                .toList();
        double tokens = Samples.tokensInTime(ended) / ((toNanos - fromNanos) / NANOS_PER_SECOND);
        Histogram first = Samples.firstTokenTimes(ended);
        return new PolicyResult(
                tokens,
                tokens / boundTokens,
                first.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                first.getValueAtPercentile(TAIL) / MICROS_PER_MILLI,
                Samples.completeAnswerTimes(ended).getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                Samples.countsByEnd(ended),
                Samples.countsByDetail(ended));
    }
}
