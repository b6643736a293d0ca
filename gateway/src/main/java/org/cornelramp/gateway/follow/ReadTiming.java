package org.cornelramp.gateway.follow;

/**
 * How the time in which a change must be in force everywhere is divided between those who take part in passing it on.
 * Immutable, safe for use by any thread.
 *
 * <p>Invariants: {@link #pathValidMillis} plus one read of the store stays below half of the bound. That is how long a
 * change may be missing at gateways that rely on a reader which has just lost the store; the other half is a margin for
 * machines with little processor time, and for a second fault. Two reads in a row, the first of which gets no answer,
 * end before a gateway must be up to date again after any fault.
 *
 * @param readMillis longest duration of a read: the store may hold back its answer, and then needs time to send it
 * @param answerMillis part of that time that is first left for the answer
 * @param maxAnswerMillis part of that time that is left for the answer of a slow store
 * @param pathValidMillis age of the last call that the store has answered up to which a reader's position is used
 */
public record ReadTiming(long readMillis, long answerMillis, long maxAnswerMillis, long pathValidMillis) {
    /** A larger bound leaves more margin, as a gateway must be up to date three seconds after any fault. */
    private static final long MAX_BOUND_MILLIS = 2_000;

    /**
     * The division of a bound.
     *
     * @param boundMillis time in which a change that the store has accepted must be in force
     */
    public static ReadTiming of(long boundMillis) {
        long bound = Math.min(boundMillis, MAX_BOUND_MILLIS);
        return new ReadTiming(7 * bound / 10, bound / 5, 9 * bound / 20, 2 * bound / 5);
    }

    /**
     * Idle time after which a connection to the store is closed: an idle connection may have stopped without a reset,
     * which shows only when a read on it gets no answer. Longer than a read.
     */
    public long connectionIdleMillis() {
        return readMillis + answerMillis / 4;
    }
}
