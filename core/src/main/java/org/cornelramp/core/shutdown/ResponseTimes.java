package org.cornelramp.core.shutdown;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * How long the latest requests of each route took from their arrival to their end. Safe for use by any thread.
 * Invariant: memory is bounded, since only the latest requests of the routes used last are kept.
 */
public final class ResponseTimes {
    private static final int SAMPLES = 32;

    /** Fewer requests say too little about the longest one. */
    private static final int MIN_SAMPLES = 4;

    private static final int MAX_ROUTES = 1_024;

    private final Map<String, Samples> byRoute = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Samples> eldest) {
            return size() > MAX_ROUTES;
        }
    };

    /** The latest response times of one route. Guarded by the enclosing object. */
    private static final class Samples {
        private final int[] millis = new int[SAMPLES];
        private int count;

        void add(long value) {
            millis[count % SAMPLES] = (int) Math.min(Integer.MAX_VALUE, value);
            count++;
        }
    }

    /** Records that a request of a route has ended after the given time, in milliseconds. */
    public synchronized void record(String route, long millis) {
        byRoute.computeIfAbsent(route, name -> new Samples()).add(millis);
    }

    /** Longest time of the latest requests of a route, in milliseconds; empty if there were too few to tell. */
    public synchronized OptionalLong longest(String route) {
        Samples samples = byRoute.get(route);
        return samples == null || samples.count < MIN_SAMPLES
                ? OptionalLong.empty()
                : OptionalLong.of(Arrays.stream(samples.millis).max().getAsInt());
    }
}
