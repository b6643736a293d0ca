package org.cornelramp.core.limit;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;

/**
 * Enforces one entry's part of each row's limits on requests per second, concurrent requests and tokens per second.
 *
 * <p>Entries share no store. Each reports its demand to the agents in its heartbeats ({@link #demand}), and each agent
 * reports back the sum over its entries ({@link #recordReport}). The part of an entry is its demand divided by that
 * sum. Owned by one thread, which passes the current time in. Memory is bounded: rows without demand are dropped after
 * a minute.
 *
 * <p>Invariant: while reports arrive, the requests that all entries admit over a time t exceed the limit × t by at most a
 * burst, plus the excess from demand that moved between entries since the last reports.
 */
public final class Limiter {
    /** Maximum number of rows reported in one heartbeat; those with the lowest demand are omitted. */
    public static final int MAX_REPORTED_ROWS = 256;

    private static final double BURST_SECONDS = 1;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(1);
    private static final double MIN_REPORTED_DEMAND = 0.001;
    private static final double MIN_WAIT_SECONDS = 0.05;
    private static final double MAX_WAIT_SECONDS = 60;

    private final Duration reportTimeout;
    private final Map<RowKey, RowState> rows = new HashMap<>();
    private final Map<Incarnation, Report> reports = new HashMap<>();

    /**
     * @param reportTimeout age above which an agent's report no longer counts; a few heartbeats
     */
    public Limiter(Duration reportTimeout) {
        this.reportTimeout = reportTimeout;
    }

    /**
     * Admits a request under the limits of its row, or refuses it with a retry-after time.
     *
     * @param row the row in force
     * @param tokens maximum number of tokens that the request may generate; 0 for a plain service
     * @param now the current time
     * @param random adds jitter to the retry-after times
     */
    public Either<Problem, Permit> admit(Row row, int tokens, Instant now, RandomGenerator random) {
        RowValues limits = row.values();
        if (!isLimited(limits)) {
            return Either.right(new Permit(row.key(), 0, false));
        }
        int entries = entryCount(now);
        RowState state = rows.computeIfAbsent(row.key(), k -> new RowState(limits, entries, now));
        state.refresh(limits, state.demand.requestArrived(totalDemand(row.key(), now), entries, now), now);
        double wait = state.waitSeconds(limits);
        if (wait > 0) {
            double minSeconds = Math.min(MAX_WAIT_SECONDS, Math.max(MIN_WAIT_SECONDS, wait));
            Duration retryAfter = Seconds.duration(minSeconds * (1 + random.nextDouble()));
            return Either.left(
                    Problem.notRun(ProblemKind.LIMIT_REACHED, "The limits of row " + row.key() + " are reached")
                            .withRetryAfter(retryAfter));
        }
        state.charge(limits, tokens);
        return Either.right(new Permit(row.key(), limits.tokensPerSecond() > 0 ? tokens : 0, true));
    }

    /**
     * Records the end of an admitted request.
     *
     * @param permit the permit that {@link #admit} returned
     * @param tokensUsed tokens that were generated; tokens charged beyond them are refunded
     */
    public void release(Permit permit, int tokensUsed, Instant now) {
        RowState state = rows.get(permit.row());
        if (state == null || !permit.counted()) {
            return;
        }
        state.concurrency.ended(state.concurrencyPart, now);
        state.tokens.refund(Math.max(0, permit.tokens() - tokensUsed));
    }

    /** This entry's demand by limited row, in requests per second, for the next heartbeat; also drops idle rows. */
    public Map<String, Double> demand(Instant now) {
        rows.values().removeIf(s -> s.demand.isIdleSince(now.minus(IDLE_TIMEOUT)) && s.concurrency.inProgress() == 0);
        List<Map.Entry<String, Double>> all = new ArrayList<>();
        rows.forEach((key, state) -> all.add(Map.entry(key.toString(), state.demand.report(now))));
        all.removeIf(e -> e.getValue() < MIN_REPORTED_DEMAND);
        all.sort(Map.Entry.<String, Double>comparingByValue().reversed());
        Map<String, Double> reported = new LinkedHashMap<>();
        all.stream().limit(MAX_REPORTED_ROWS).forEach(e -> reported.put(e.getKey(), e.getValue()));
        return reported;
    }

    /**
     * Stores the report from an agent's heartbeat.
     *
     * @param entryDemand demand of all entries linked to the agent, by row, in requests per second
     * @param linkedEntries number of entries linked to the agent
     */
    public void recordReport(Incarnation agent, Map<String, Double> entryDemand, int linkedEntries, Instant now) {
        reports.put(agent, new Report(Map.copyOf(entryDemand), linkedEntries, now));
        reports.values().removeIf(r -> r.receivedAt.plus(reportTimeout).isBefore(now));
    }

    /** Drops the report of an agent whose link is lost. */
    public void removeReport(Incarnation agent) {
        reports.remove(agent);
    }

    /** The part of a row's limits that this entry may currently use, from 0 to 1, for reports. */
    public double part(RowKey row, Instant now) {
        RowState state = rows.get(row);
        return state == null ? 0 : state.demand.part(totalDemand(row, now), now);
    }

    /** Demand of all entries for a row. Changes reach the agents at different times; the largest sum is the safe one. */
    private double totalDemand(RowKey row, Instant now) {
        String key = row.toString();
        double max = 0;
        for (Report r : reports.values()) {
            if (!r.receivedAt.plus(reportTimeout).isBefore(now)) {
                max = Math.max(max, r.demand.getOrDefault(key, 0.0));
            }
        }
        return max;
    }

    private int entryCount(Instant now) {
        int max = 1;
        for (Report r : reports.values()) {
            if (!r.receivedAt.plus(reportTimeout).isBefore(now)) {
                max = Math.max(max, r.entries);
            }
        }
        return max;
    }

    private static boolean isLimited(RowValues v) {
        return v.requestsPerSecond() > 0 || v.concurrency() > 0 || v.tokensPerSecond() > 0;
    }

    private record Report(Map<String, Double> demand, int entries, Instant receivedAt) {}

    /** Demand, token buckets and concurrency of one row. */
    private static final class RowState {
        private final DemandShare demand;
        private final TokenBucket requests;
        private final TokenBucket tokens;
        private final ConcurrencyShare concurrency;
        private double part;
        private double concurrencyPart;
        private boolean mayStart;

        /** The buckets start with an equal part of one burst, so that all entries together start with one burst. */
        RowState(RowValues limits, int entries, Instant now) {
            demand = new DemandShare(now);
            requests = new TokenBucket(Math.max(1, limits.requestsPerSecond() * BURST_SECONDS / entries), now);
            tokens = new TokenBucket(Math.max(1, limits.tokensPerSecond() * BURST_SECONDS / entries), now);
            concurrency = new ConcurrencyShare(now);
        }

        void refresh(RowValues limits, DemandShare.Part newPart, Instant now) {
            double rate = limits.requestsPerSecond() * newPart.mean();
            requests.refill(rate, Math.max(1, rate * BURST_SECONDS), now);
            double tokenRate = limits.tokensPerSecond() * newPart.mean();
            tokens.refill(tokenRate, Math.max(1, tokenRate * BURST_SECONDS), now);
            part = newPart.current();
            boolean bounded = limits.concurrency() > 0;
            concurrencyPart = bounded ? limits.concurrency() * newPart.mean() : Integer.MAX_VALUE;
            mayStart = concurrency.mayStart(concurrencyPart, now);
        }

        /** Seconds until every limit admits another request; 0 if all do now. */
        double waitSeconds(RowValues limits) {
            double wait = 0;
            if (limits.requestsPerSecond() > 0) {
                wait = requests.secondsUntil(1, limits.requestsPerSecond() * part);
            }
            if (limits.tokensPerSecond() > 0) {
                wait = Math.max(wait, tokens.secondsUntil(0, limits.tokensPerSecond() * part));
            }
            if (!mayStart) {
                wait = Math.max(wait, Math.max(MIN_WAIT_SECONDS, concurrency.secondsUntilCredit(concurrencyPart)));
            }
            return wait;
        }

        /**
         * Charges one request. A limit that is not set is not charged, since its debt would block the row once it is
         * set.
         */
        void charge(RowValues limits, int tokenCount) {
            requests.take(limits.requestsPerSecond() > 0 ? 1 : 0);
            tokens.take(limits.tokensPerSecond() > 0 ? tokenCount : 0);
            concurrency.started();
        }
    }
}
