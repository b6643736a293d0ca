package org.cornelramp.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/** What this process has observed of one plain server. Owned by one thread. */
final class PlainServerRecord {
    /** Weight of the newest answer in the moving averages by count, which cover about the last ten answers. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Age at which a reported load has no weight any more, in milliseconds. */
    private static final double REPORT_VALID_MILLIS = 1_000;

    /** Longest time for which a server is avoided because it is full, in milliseconds; bounds a mistaken latency. */
    private static final long MAX_FULL_MILLIS = 1_000;

    /** Most consecutive sheds that lengthen the time for which a server is avoided. */
    private static final int MAX_COUNTED_SHEDS = 4;

    /** Factor by which a server is slower while it is cold. */
    static final double COLD_SLOWDOWN = 1.6;

    /** A slow server shows at each of its answers. */
    private static final double LATENCY_LEARN_MILLIS = 3_000;

    /** A server that fails a third of the requests must not count as sound after one success. */
    private static final double FAILURE_LEARN_MILLIS = 10_000;

    private double latencyMillis = PlainServerStats.INITIAL_LATENCY_MILLIS;
    private double failureRate;
    private final RecentMean recentLatency = new RecentMean(LATENCY_LEARN_MILLIS);
    private final RecentMean recentFailures = new RecentMean(FAILURE_LEARN_MILLIS);

    /** When the requests in flight were sent; the oldest first. */
    private final Deque<Long> sentMillis = new ArrayDeque<>();

    private int reportedRequests;
    private long reportedMillis = Long.MIN_VALUE / 2;
    private int sentSinceReport;
    private long fullUntilMillis = Long.MIN_VALUE / 2;
    private int consecutiveSheds;
    private long coldUntilMillis = Long.MIN_VALUE / 2;
    private long coldMillis;

    void sent(long nowMillis) {
        sentMillis.add(nowMillis);
        sentSinceReport++;
    }

    void ended(PlainServerStats.Outcome outcome, long millis, long nowMillis) {
        if (!sentMillis.removeFirstOccurrence(nowMillis - millis)) {
            sentMillis.poll();
        }
        boolean succeeded = outcome == PlainServerStats.Outcome.SUCCEEDED;
        failureRate += SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - failureRate);
        if (succeeded) {
            latencyMillis += SMOOTHING_FACTOR * (millis - latencyMillis);
        }
        recordRecent(outcome, millis, nowMillis);
    }

    private void recordRecent(PlainServerStats.Outcome outcome, long millis, long nowMillis) {
        switch (outcome) {
            case SUCCEEDED -> {
                // otherwise the server would count as slow after its cold time
                recentLatency.record(millis / (warmShare(nowMillis) < 1 ? COLD_SLOWDOWN : 1), nowMillis);
                recentFailures.record(0, nowMillis);
                consecutiveSheds = 0;
            }
            case FAILED -> recentFailures.record(1, nowMillis);
            case ABANDONED -> {
                if (millis > usualLatency()) {
                    recentLatency.record((double) millis, nowMillis); // the answer would have taken at least as long
                }
            }
            case SHED -> {
                consecutiveSheds = Math.min(MAX_COUNTED_SHEDS, consecutiveSheds + 1);
                // half of the requests that run there have ended by then
                markFull(consecutiveSheds * usualLatency() / 2, nowMillis);
            }
        }
    }

    /** Recent latency as of the last answer; a default without any. */
    double usualLatency() {
        return recentLatency.isObserved() ? recentLatency.mean() : PlainServerStats.INITIAL_LATENCY_MILLIS;
    }

    private void markFull(double millis, long nowMillis) {
        fullUntilMillis = Math.max(fullUntilMillis, nowMillis + Math.min(MAX_FULL_MILLIS, Math.round(millis)));
    }

    /** Records the load that the server has reported; requests that exceed its slots make it full. */
    void reported(int requests, int slots, long nowMillis) {
        reportedRequests = requests;
        reportedMillis = nowMillis;
        sentSinceReport = 0;
        if (slots > 0 && requests >= slots) {
            markFull(usualLatency() * (requests - slots + 1) / slots, nowMillis);
        } else if (2L * requests <= slots) {
            fullUntilMillis = nowMillis;
        }
    }

    /** Records the time for which the server says that it stays cold; an outdated record does not lengthen it. */
    void registeredCold(long remainingMillis, long nowMillis) {
        long until = nowMillis + remainingMillis;
        coldUntilMillis = coldMillis == 0 ? until : Math.min(coldUntilMillis, until);
        coldMillis = coldMillis == 0 ? remainingMillis : coldMillis;
    }

    /** Share of its cold time that is over; 1 if it is not cold. */
    double warmShare(long nowMillis) {
        return coldMillis == 0 ? 1 : Math.min(1, 1 - (coldUntilMillis - nowMillis) / (double) coldMillis);
    }

    /** Time until a slot is expected to be free at a server that is known to be full; 0 at any other. */
    long millisUntilSlot(long nowMillis) {
        return Math.max(0, fullUntilMillis - nowMillis);
    }

    /**
     * Requests expected at the server: those that the gateways have in flight there, and the reported load as far as it
     * is recent.
     */
    double expectedRequests(int peersInFlight, long nowMillis) {
        double weight = Math.max(0, 1 - (nowMillis - reportedMillis) / REPORT_VALID_MILLIS);
        int known = inFlight() + Math.max(0, peersInFlight);
        return weight * (reportedRequests + sentSinceReport) + (1 - weight) * known;
    }

    /**
     * Latency to expect now; a request in flight for longer shows that the server has become slower.
     *
     * @param usualMillis expected without a recent observation. The factor between the two fades where the server was
     *     slower, so that one that was slower by 12 for a while is tried again not much later than one that was slower
     *     by 3. A server that was faster stays so: at a request every few seconds the nearest one would otherwise soon
     *     count as slower than any other.
     */
    double expectedLatency(double usualMillis, long nowMillis) {
        double oldest = sentMillis.isEmpty() ? 0 : nowMillis - sentMillis.peek();
        if (!recentLatency.isObserved()) {
            return Math.max(oldest, usualMillis);
        }
        double factor = Math.max(1, recentLatency.mean()) / usualMillis;
        double weight = factor < 1 ? 1 : recentLatency.weight(nowMillis);
        return Math.max(oldest, usualMillis * Math.pow(factor, weight));
    }

    boolean isLatencyObserved() {
        return recentLatency.isObserved();
    }

    double recentFailureRate(long nowMillis) {
        return recentFailures.mean() * recentFailures.weight(nowMillis);
    }

    int inFlight() {
        return sentMillis.size();
    }

    /** Mean latency of about the last ten answers. */
    double latencyMillis() {
        return latencyMillis;
    }

    /** Mean failure rate of about the last ten requests; a shed request counts as failed. */
    double failureRate() {
        return failureRate;
    }
}
