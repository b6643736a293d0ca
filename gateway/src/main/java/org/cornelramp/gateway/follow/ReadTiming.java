package org.cornelramp.gateway.follow;

/**
 * How the time in which a change must be in force everywhere is divided between those who take part in passing it on.
 * Immutable, safe for use by any thread.
 *
 * <p>Invariant: {@link #pathValidMillis} plus one read of the store stays below half of the bound. That is how long a
 * change may be missing at gateways that rely on a reader which has just lost the store; the other half is a margin for
 * machines with little processor time, and for a second fault.
 *
 * @param longPollMillis longest time that the store may hold back the answer to a read
 * @param answerMillis time that the store then has to answer
 * @param pathValidMillis age of the last call that the store has answered up to which a reader's position is used
 */
public record ReadTiming(long longPollMillis, long answerMillis, long pathValidMillis) {
    /** A larger bound leaves more margin, as a gateway must be up to date three seconds after any fault. */
    private static final long MAX_BOUND_MILLIS = 2_000;

    /**
     * The division of a bound.
     *
     * @param boundMillis time in which a change that the store has accepted must be in force
     */
    public static ReadTiming of(long boundMillis) {
        long bound = Math.min(boundMillis, MAX_BOUND_MILLIS);
        return new ReadTiming(bound / 2, bound / 5, 2 * bound / 5);
    }

    /** Age of the last answer to a read of a topic up to which a reader's position in it is used. */
    long readValidMillis() {
        return longPollMillis + answerMillis;
    }
}
