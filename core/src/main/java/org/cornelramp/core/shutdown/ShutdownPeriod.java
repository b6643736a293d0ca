package org.cornelramp.core.shutdown;

/**
 * The time between a stop signal and the last responses of a process. Immutable, safe for use by any thread. All times
 * are in milliseconds, on the steady clock.
 *
 * @param beginMillis when the stop signal was received
 * @param noticeEndMillis when the balancer knows that the process is stopping
 * @param endMillis when every request must have its response
 */
public record ShutdownPeriod(long beginMillis, long noticeEndMillis, long endMillis) {
    /** Time until the balancer sends no new connections: two failed readiness checks, a second apart, plus a margin. */
    private static final long NOTICE_MILLIS = 2_500;

    /** Rest of the grace time that is reserved for writing the last responses and ending the process. */
    private static final long END_MARGIN_MILLIS = 400;

    /** Largest part of the grace time that is reserved so, as a divisor. */
    private static final long MAX_MARGIN_PART = 4;

    /**
     * The period that a stop signal begins.
     *
     * @param graceMillis time from the signal until the process is killed, in milliseconds
     */
    public static ShutdownPeriod of(long beginMillis, long graceMillis) {
        long length = graceMillis - Math.min(END_MARGIN_MILLIS, graceMillis / MAX_MARGIN_PART);
        return new ShutdownPeriod(beginMillis, beginMillis + Math.min(NOTICE_MILLIS, length), beginMillis + length);
    }

    /** Whether no request may still be in progress. */
    public boolean isOver(long nowMillis) {
        return nowMillis >= endMillis;
    }

    /** Whether the balancer may still send new connections to this process, such as those of refused clients. */
    public boolean isNoticePending(long nowMillis) {
        return nowMillis < noticeEndMillis;
    }
}
