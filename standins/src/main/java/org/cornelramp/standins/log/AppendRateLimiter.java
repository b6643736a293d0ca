package org.cornelramp.standins.log;

/**
 * Token bucket that limits the rate of appends. Holds the tokens of a tenth of a second, but at least one. Safe for use
 * by any thread.
 */
final class AppendRateLimiter {
    private static final double BURST_SECONDS = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double perSecond;
    private double tokens;
    private long refilledAtMillis;

    AppendRateLimiter(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = burstTokens();
    }

    synchronized boolean tryAcquire(long nowMillis) {
        if (refilledAtMillis == 0) {
            refilledAtMillis = nowMillis;
        }
        tokens = Math.min(burstTokens(), tokens + (nowMillis - refilledAtMillis) * perSecond / MILLIS_PER_SECOND);
        refilledAtMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private double burstTokens() {
        return Math.max(1, perSecond * BURST_SECONDS);
    }
}
