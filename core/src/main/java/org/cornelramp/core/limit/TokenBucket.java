package org.cornelramp.core.limit;

import java.time.Instant;

/**
 * A token bucket whose rate may change at any time and whose balance may fall below zero.
 *
 * <p>Work whose size is known only at its end is admitted while the balance is positive and charged in full, so that the
 * mean rate holds however large a single request is. Owned by one thread.
 *
 * <p>Invariant: what is taken over any time t is at most {@code burst + rate × t} plus one request.
 */
final class TokenBucket {
    private double balance;
    private Instant updatedAt;

    TokenBucket(double balance, Instant now) {
        this.balance = balance;
        this.updatedAt = now;
    }

    /** Adds the tokens accrued since the last call at the given rate, up to the burst. */
    void refill(double rate, double burst, Instant now) {
        balance = Math.min(burst, balance + rate * Seconds.between(updatedAt, now));
        updatedAt = now.isAfter(updatedAt) ? now : updatedAt;
    }

    /** Seconds until the balance reaches {@code needed} at the given rate; 0 if it already does. */
    double secondsUntil(double needed, double rate) {
        if (balance >= needed) {
            return 0;
        }
        return rate > 0 ? (needed - balance) / rate : Double.MAX_VALUE;
    }

    void take(double amount) {
        balance -= amount;
    }

    void refund(double amount) {
        balance += amount;
    }
}
