package org.cornelramp.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Collects samples and computes their summaries. Safe for use by any thread. */
public final class Samples {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MAX_MICROS = 600_000_000L;
    private static final int DIGITS = 3;

    private final List<Sample> samples = new ArrayList<>();
    private int countSent;

    /** Counts a request that is being sent. */
    public synchronized void countSent() {
        countSent++;
    }

    /** Adds the sample of a request that has ended. */
    public synchronized void add(Sample sample) {
        samples.add(sample);
    }

    /** Number of requests that have not ended yet. */
    public synchronized int openCount() {
        return countSent - samples.size();
    }

    /** The samples of requests that were due in a time window. */
    public synchronized List<Sample> plannedIn(long fromNanos, long toNanos) {
        return samples.stream()
                .filter(sample -> sample.plannedNanos() - fromNanos >= 0 && sample.plannedNanos() - toNanos < 0)
                .collect(Collectors.toUnmodifiableList());
    }

    /** All samples. */
    public synchronized List<Sample> all() {
        return List.copyOf(samples);
    }

    /** Number of requests by how they ended. */
    public static Map<String, Long> countsByEnd(List<Sample> part) {
        return part.stream()
                .collect(Collectors.groupingBy(
                        sample -> sample.end().name().toLowerCase(Locale.ROOT), TreeMap::new, Collectors.counting()));
    }

    /** Number of requests by their problem. */
    public static Map<String, Long> countsByDetail(List<Sample> part) {
        return part.stream()
                .filter(sample -> !sample.detail().isEmpty())
                .collect(Collectors.groupingBy(Sample::detail, TreeMap::new, Collectors.counting()));
    }

    /** Tokens in whole, correct answers that came in time. */
    public static long tokensInTime(List<Sample> part) {
        return part.stream()
                .filter(sample -> sample.end() == CallEnd.IN_TIME)
                .mapToLong(Sample::tokens)
                .sum();
    }

    /** Times to the first token, in microseconds, of requests that were answered. */
    public static Histogram firstTokenTimes(List<Sample> part) {
        return histogram(
                part, sample -> sample.firstNanos() != 0 && sample.end().isAnswered(), true);
    }

    /** Times to the whole answer, in microseconds, of requests that were answered. */
    public static Histogram completeAnswerTimes(List<Sample> part) {
        return histogram(part, sample -> sample.end().isAnswered(), false);
    }

    private static Histogram histogram(List<Sample> part, Predicate<Sample> wanted, boolean first) {
        Histogram histogram = new Histogram(MAX_MICROS, DIGITS);
        part.stream().filter(wanted).forEach(sample -> {
            long at = first ? sample.firstNanos() : sample.endNanos();
            long micros = Math.max(0, (at - sample.plannedNanos()) / NANOS_PER_MICRO);
            histogram.recordValue(Math.min(micros, MAX_MICROS));
        });
        return histogram;
    }
}
