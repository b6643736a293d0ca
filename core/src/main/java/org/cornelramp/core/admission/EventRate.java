package org.cornelramp.core.admission;

/**
 * Exponentially weighted rate of events, with a time constant of one second. Owned by one thread.
 *
 * <p>Times are on the steady clock; a time before the previous one counts as the previous one.
 */
final class EventRate {
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private double weight;
    private long updatedMillis;

    EventRate(long nowMillis) {
        this.updatedMillis = nowMillis;
    }

    /** Records an event. */
    void add(long nowMillis) {
        weight = perSecond(nowMillis) + 1;
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }

    /** The rate; the weight of all events equals it, as the time constant is a second. */
    double perSecond(long nowMillis) {
        return weight * Math.exp(-Math.max(0, nowMillis - updatedMillis) / TIME_CONSTANT_MILLIS);
    }
}
