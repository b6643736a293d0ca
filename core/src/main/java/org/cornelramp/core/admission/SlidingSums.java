package org.cornelramp.core.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * Sums over the last {@link #WINDOW_MILLIS}, one for each {@link Measure}, in buckets of a tenth of that time.
 * Constant memory. Owned by one thread.
 */
final class SlidingSums {
    static final long WINDOW_MILLIS = 5_000;
    private static final int BUCKETS = 10;
    private static final long BUCKET_MILLIS = WINDOW_MILLIS / BUCKETS;

    private final Map<Measure, double[]> sums = new EnumMap<>(Measure.class);
    private long latestBucket = Long.MIN_VALUE;

    /** What is summed. */
    enum Measure {
        OFFERED,
        ADMITTED,
        OFFERED_COST,
        ADMITTED_COST
    }

    SlidingSums() {
        for (Measure measure : Measure.values()) {
            sums.put(measure, new double[BUCKETS]);
        }
    }

    /** Returns a copy that changes independently. */
    SlidingSums copy() {
        SlidingSums copy = new SlidingSums();
        copyTo(copy);
        return copy;
    }

    /** Replaces the sums of another instance by these. */
    void copyTo(SlidingSums other) {
        sums.forEach((measure, buckets) -> other.sums.put(measure, buckets.clone()));
        other.latestBucket = latestBucket;
    }

    void add(Measure measure, double amount, long nowMillis) {
        advance(nowMillis);
        sums.get(measure)[Math.floorMod(latestBucket, BUCKETS)] += amount;
    }

    double sum(Measure measure, long nowMillis) {
        advance(nowMillis);
        double sum = 0;
        for (double bucket : sums.get(measure)) {
            sum += bucket;
        }
        return sum;
    }

    private void advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (bucket <= latestBucket) {
            return;
        }
        for (long b = Math.max(latestBucket + 1, bucket - BUCKETS + 1); b <= bucket; b++) {
            for (double[] row : sums.values()) {
                row[Math.floorMod(b, BUCKETS)] = 0;
            }
        }
        latestBucket = bucket;
    }
}
