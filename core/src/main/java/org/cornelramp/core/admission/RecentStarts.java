package org.cornelramp.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the requests that other gateways started after their last updates, from this gateway's own starts.
 *
 * <p>All gateways see the same free capacity at the same time and would all take it before the next update. Since they
 * decide alike, each assumes that every other gateway started as many requests in that time as it did itself, and so
 * takes about an equal share. Memory is bounded by the starts within {@link #WINDOW_MILLIS}; the
 * time of a call is proportional to the keys. Owned by one thread.
 *
 * @param <K> what requests start on: the first engine of their path, or any other key
 */
public final class RecentStarts<K> {
    /** Time over which the usual rate of starts is counted; loads of peers that are alive are younger. */
    static final long WINDOW_MILLIS = 2_000;

    private final Map<K, Deque<Long>> starts = new HashMap<>();

    /** Records that this gateway started a request. */
    public void record(K key, long nowMillis) {
        expire(nowMillis);
        starts.computeIfAbsent(key, k -> new ArrayDeque<>()).addLast(nowMillis);
    }

    /**
     * Expected number of requests that other gateways started on a key and have not reported.
     *
     * @param others number of other gateways
     * @param ageMillis age of the oldest load that they reported
     */
    public double expectedUnseen(K key, int others, long ageMillis, long nowMillis) {
        expire(nowMillis);
        long latest = starts.getOrDefault(key, new ArrayDeque<>()).stream()
                .filter(start -> nowMillis - start <= ageMillis)
                .count();
        double within = starts.values().stream().mapToInt(Deque::size).sum() / Math.max(1.0, starts.size());
        // With many gateways, most have not started any request within the age, although the others together have.
        double usual = within * Math.min(1, (double) ageMillis / WINDOW_MILLIS);
        return others * Math.max((double) latest, usual);
    }

    private void expire(long nowMillis) {
        starts.values().forEach(times -> {
            while (!times.isEmpty() && nowMillis - times.peekFirst() > WINDOW_MILLIS) {
                times.removeFirst();
            }
        });
        starts.values().removeIf(Deque::isEmpty);
    }
}
