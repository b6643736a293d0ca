package org.cornelramp.standins.log;

/** A token bucket of a tenth of a second. Safe for use by any thread. */
final class AppendRate {
    private static final double BURST_SECONDS = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double perSecond;
    private double left;
    private long at;

    AppendRate(double perSecond) {
        this.perSecond = perSecond;
        this.left = burst();
    }

    synchronized boolean take(long now) {
        if (at == 0) {
            at = now;
        }
        left = Math.min(burst(), left + (now - at) * perSecond / MILLIS_PER_SECOND);
        at = now;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }

    private double burst() {
        return Math.max(1, perSecond * BURST_SECONDS);
    }
}
