package org.cornelramp.core.retry;

import java.util.Arrays;

/**
 * Bounds the repeats that this process sends to one service within a sliding window.
 *
 * <p>The platform allows all processes together a share of the requests and a reserve. Each process takes the share
 * of its own requests and a part of the reserve, so the sum keeps the bound without a central count. Owned by one
 * thread.
 *
 * <p>Invariant: in any window at most {@code ratio × requests + reserve} repeats.
 */
public final class RetryWindow {
    private static final int BUCKETS = 20;

    private final double ratio;
    private final long bucketMillis;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] repeats = new int[BUCKETS + 1];
    private long newest = Long.MIN_VALUE;

    /**
     * @param ratio repeats for each request
     * @param windowMillis length of the window
     */
    public RetryWindow(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /** Notes a client's request. */
    public void request(long nowMillis) {
        requests[slot(nowMillis)]++;
    }

    /**
     * Takes one repeat; false if none is left now.
     *
     * @param reserve repeats besides the share of the requests, within a window
     * @param part part of all that is allowed which this repeat may come out of, from 0 to 1
     */
    public boolean tryRepeat(double reserve, double part, long nowMillis) {
        boolean left = hasRepeat(reserve, part, nowMillis);
        if (left) {
            repeats[slot(nowMillis)]++;
        }
        return left;
    }

    /** Whether {@link #tryRepeat} would take one now. */
    public boolean hasRepeat(double reserve, double part, long nowMillis) {
        return sum(repeats) + 1 <= part * allowed(reserve, nowMillis);
    }

    /** Repeats that are allowed within the window that ends now, used ones included. */
    public double allowed(double reserve, long nowMillis) {
        slot(nowMillis);
        return ratio * sum(requests) + reserve;
    }

    /** Repeats that are left now; negative if the reserve has become smaller than what was taken. */
    public double left(double reserve, long nowMillis) {
        return allowed(reserve, nowMillis) - sum(repeats);
    }

    private int slot(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, bucketMillis);
        if (newest == Long.MIN_VALUE || bucket - newest > BUCKETS) {
            Arrays.fill(requests, 0);
            Arrays.fill(repeats, 0);
            newest = bucket;
        }
        while (newest < bucket) {
            newest++;
            int slot = (int) Math.floorMod(newest, BUCKETS + 1);
            requests[slot] = 0;
            repeats[slot] = 0;
        }
        return (int) Math.floorMod(newest, BUCKETS + 1);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
