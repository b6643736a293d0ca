package org.cornelramp.gateway.follow;

/**
 * The time that the store has to answer, adapted to how fast it is: short, so that a connection that has stopped is
 * noticed soon, and longer after a call without an answer, so that a slow store can be read at all. Confined to one
 * thread.
 */
final class AnswerTimeout {
    private final long firstMillis;
    private final long maxMillis;
    private long millis;

    AnswerTimeout(long firstMillis, long maxMillis) {
        this.firstMillis = firstMillis;
        this.maxMillis = maxMillis;
        this.millis = firstMillis;
    }

    long millis() {
        return millis;
    }

    /** Records an answer and how long it took, without the time that the store was asked to wait. */
    void recordAnswer(long tookMillis) {
        if (tookMillis < firstMillis) {
            millis = firstMillis;
        }
    }

    /** Records that no answer has come in time. */
    void recordTimeout() {
        millis = Math.min(maxMillis, 2 * millis);
    }
}
