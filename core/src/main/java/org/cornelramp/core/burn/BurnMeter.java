package org.cornelramp.core.burn;

import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the requests of one row over all windows in a fixed number of buckets.
 *
 * <p>Safe for use by any thread: methods are synchronized. Invariant: memory does not grow with time or requests. The
 * counts of a window cover its length and up to one bucket more, a twelfth of the length.
 */
public final class BurnMeter {
    private static final int BUCKETS = 12;

    private final Map<BurnWindow, Ring> rings = new EnumMap<>(BurnWindow.class);

    public BurnMeter() {
        for (BurnWindow window : BurnWindow.values()) {
            rings.put(window, new Ring(window.length().toMillis() / BUCKETS));
        }
    }

    /** Counts the end of a request. */
    public synchronized void add(boolean bad, Instant now) {
        rings.values().forEach(ring -> ring.add(bad, now.toEpochMilli()));
    }

    /** The counts of a window that ends now. */
    public synchronized BurnCounts counts(BurnWindow window, Instant now) {
        return rings.get(window).sum(now.toEpochMilli());
    }

    /** A ring of buckets of equal length: the current one and the twelve before it. */
    private static final class Ring {
        private final long bucketMillis;
        private final int[] total = new int[BUCKETS + 1];
        private final int[] bad = new int[BUCKETS + 1];
        private long newest;

        Ring(long bucketMillis) {
            this.bucketMillis = bucketMillis;
        }

        void add(boolean isBad, long millis) {
            advance(millis / bucketMillis);
            int at = slot(newest);
            total[at]++;
            bad[at] += isBad ? 1 : 0;
        }

        BurnCounts sum(long millis) {
            advance(millis / bucketMillis);
            long totals = 0;
            long bads = 0;
            for (int i = 0; i <= BUCKETS; i++) {
                totals += total[i];
                bads += bad[i];
            }
            return new BurnCounts(totals, bads);
        }

        /**
         * Clears the buckets up to the given one. If the clock is set back, the newest bucket stays current, so that nothing
         * is counted twice.
         */
        private void advance(long bucket) {
            long steps = Math.min(bucket - newest, BUCKETS + 1);
            for (long i = 0; i < steps; i++) {
                int at = slot(bucket - i);
                total[at] = 0;
                bad[at] = 0;
            }
            newest = Math.max(newest, bucket);
        }

        private static int slot(long bucket) {
            return (int) (bucket % (BUCKETS + 1));
        }
    }
}
