package org.cornelramp.core.retry;

import java.util.Arrays;

/**
 * Bounds the retries that this process sends to one service within a sliding window.
 *
 * <p>The platform allows all processes together a share of the requests plus a reserve. Each process uses the share
 * of its own requests and a part of the reserve, so the sum stays within the bound without a central count. Owned by
 * one thread.
 *
 * <p>Invariant: in any window at most {@code ratio × requests + reserve} retries.
 */
public final class RetryWindow {
    private static final int BUCKETS = 20;

    private final double ratio;
    private final long bucketMillis;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private long newestBucket = Long.MIN_VALUE;

    /**
     * @param ratio retries for each request
     * @param windowMillis length of the window
     */
    public RetryWindow(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /** Records a client's request. */
    public void recordRequest(long nowMillis) {
        requests[slot(nowMillis)]++;
    }

    /**
     * Consumes one retry; returns false if none is left now.
     *
     * @param reserve retries allowed within a window in addition to the share of the requests
     * @param part part of the allowed retries that may be used up to and including this one, from 0 to 1
     */
    public boolean tryRetry(double reserve, double part, long nowMillis) {
        boolean left = hasRetry(reserve, part, nowMillis);
        if (left) {
            retries[slot(nowMillis)]++;
        }
        return left;
    }

    /** Whether {@link #tryRetry} would succeed now. */
    public boolean hasRetry(double reserve, double part, long nowMillis) {
        return sum(retries) + 1 <= part * allowed(reserve, nowMillis);
    }

    /** Returns the retries allowed within the window that ends now, used ones included. */
    public double allowed(double reserve, long nowMillis) {
        slot(nowMillis);
        return ratio * sum(requests) + reserve;
    }

    /** Returns the retries left now; negative if the reserve has shrunk below the number used. */
    public double remaining(double reserve, long nowMillis) {
        return allowed(reserve, nowMillis) - sum(retries);
    }

    private int slot(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, bucketMillis);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket > BUCKETS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            int slot = (int) Math.floorMod(newestBucket, BUCKETS + 1);
            requests[slot] = 0;
            retries[slot] = 0;
        }
        return (int) Math.floorMod(newestBucket, BUCKETS + 1);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
