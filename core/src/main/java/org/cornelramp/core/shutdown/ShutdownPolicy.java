package org.cornelramp.core.shutdown;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelramp.core.routing.Route;

/**
 * Decides which requests a stopping process still accepts: those that can end before the process does. Any other is
 * better refused at once, while its client has time to send it to another process.
 *
 * <p>The time that a request needs is at most the time until its deadline. A route whose recent requests took less than
 * that is expected to go on like this, or requests that take milliseconds would be refused because their route allows
 * seconds. If one takes longer all the same, it gets a response that says so when the process ends; a stream that has
 * begun can't, so it is judged by its deadline once its client can reach another process.
 *
 * <p>Safe for use by any thread. Invariant: before {@link #begin} every request is accepted, and after {@link #close}
 * none.
 */
public final class ShutdownPolicy {
    /** How much longer than the longest recent request of its route a request may take. */
    private static final double SAFETY_FACTOR = 1.5;

    /** Time for reading the request and writing its response, in milliseconds. */
    private static final long MARGIN_MILLIS = 100;

    private final ResponseTimes times = new ResponseTimes();
    private volatile Optional<ShutdownPeriod> period = Optional.empty();
    private volatile Map<String, Long> oldestMillis = Map.of();
    private volatile boolean closed;

    /** Begins a planned shutdown. */
    public void begin(ShutdownPeriod stopping) {
        period = Optional.of(stopping);
    }

    /** Accepts no request from now on. */
    public void close() {
        closed = true;
    }

    /** Whether a planned shutdown has begun. */
    public boolean isStopping() {
        return period.isPresent();
    }

    /** Whether the process ends now, so that no request may still be in progress. */
    public boolean isOver(long nowMillis) {
        return period.map(stopping -> stopping.isOver(nowMillis)).orElse(false);
    }

    /** Records that a request of a route has ended after the given time, in milliseconds. */
    public void recordResponse(String route, long millis) {
        times.record(route, millis);
    }

    /**
     * Sets the age of the oldest request in progress of each route, in milliseconds: a route whose servers have become
     * slow is told by its unfinished requests first.
     */
    public void setOldestInProgress(Map<String, Long> millisByRoute) {
        oldestMillis = Map.copyOf(millisByRoute);
    }

    /**
     * Whether a request is accepted, or sent once more.
     *
     * @param deadlineMillis when its final response is due, on the steady clock
     */
    public boolean accepts(Route route, long deadlineMillis, long nowMillis) {
        if (closed) {
            return false;
        }
        return period.map(stopping -> accepts(stopping, route, deadlineMillis, nowMillis))
                .orElse(true);
    }

    private boolean accepts(ShutdownPeriod stopping, Route route, long deadlineMillis, long nowMillis) {
        if (stopping.isOver(nowMillis)) {
            return false;
        }
        if (stopping.isNoticePending(nowMillis)) {
            // A refused client may come to this process again, and the rest of a stream can come from another one.
            return route.kind().continuesElsewhere(route.resumable())
                    || nowMillis + expectedMillis(route, deadlineMillis, nowMillis) <= stopping.endMillis();
        }
        long neededMillis = route.kind().answersInParts()
                ? deadlineMillis - nowMillis
                : expectedMillis(route, deadlineMillis, nowMillis);
        return nowMillis + neededMillis <= stopping.endMillis();
    }

    /** Longest time that a request is expected to take from now on, in milliseconds. */
    private long expectedMillis(Route route, long deadlineMillis, long nowMillis) {
        long leftMillis = deadlineMillis - nowMillis;
        OptionalLong longest = times.longest(route.name());
        if (longest.isEmpty()) {
            return leftMillis;
        }
        long seenMillis = Math.max(longest.getAsLong(), oldestMillis.getOrDefault(route.name(), 0L));
        return Math.min(leftMillis, Math.round(SAFETY_FACTOR * seenMillis) + MARGIN_MILLIS);
    }
}
