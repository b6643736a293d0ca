package org.cornelramp.core.limit;

import java.time.Duration;
import java.time.Instant;

/** Conversions between durations and seconds. Stateless, safe for use by any thread. */
final class Seconds {
    private static final double NANOS = 1e9;

    private Seconds() {}

    static double of(Duration d) {
        return d.toNanos() / NANOS;
    }

    /** Seconds from {@code from} to {@code to}; 0 if the clock was set back. */
    static double between(Instant from, Instant to) {
        return Math.max(0, of(Duration.between(from, to)));
    }

    static Duration duration(double seconds) {
        return Duration.ofNanos((long) Math.min(seconds * NANOS, Long.MAX_VALUE / 2.0));
    }
}
