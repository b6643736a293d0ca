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
 * Holds one entry to its part of each row's limits on requests a second, requests in progress and tokens a second.
 *
 * <p>Entries share no store. Each tells its demand to the agents in its heartbeats ({@link #demand}); each agent
 * tells back the sum over its entries ({@link #told}); the part of an entry is its demand over that sum. Owned by
 * one thread, which passes the present time in. Bounded: rows without demand are dropped after a minute.
 *
 * <p>Invariant: while reports arrive, requests let in by all entries over a time t exceed the limit × t by no more
 * than a burst and what demand that moved within the last reports adds.
 */
public final class Limiter {
    /** Most rows told in one heartbeat; those with the least demand are left out. */
    public static final int MAX_TOLD = 256;

    private static final double BURST_SECONDS = 1;
    private static final Duration IDLE = Duration.ofMinutes(1);
    private static final double NEGLIGIBLE = 0.001;
    private static final double LEAST_WAIT = 0.05;
    private static final double MOST_WAIT = 60;

    private final Duration reportLife;
    private final Map<RowKey, RowState> rows = new HashMap<>();
    private final Map<Incarnation, Report> reports = new HashMap<>();

    /**
     * @param reportLife age at which an agent's report no longer counts; a few heartbeats
     */
    public Limiter(Duration reportLife) {
        this.reportLife = reportLife;
    }

    /**
     * Lets a request pass the limits of its row, or says when to come back.
     *
     * @param row the row in force
     * @param tokens most tokens that the request may generate; 0 for a plain service
     * @param now the present time
     * @param random spreads the times to come back
     */
    public Either<Problem, Permit> admit(Row row, int tokens, Instant now, RandomGenerator random) {
        RowValues limits = row.values();
        if (!isLimited(limits)) {
            return Either.right(new Permit(row.key(), 0, false));
        }
        int entries = entries(now);
        RowState state = rows.computeIfAbsent(row.key(), k -> new RowState(limits, entries, now));
        state.refresh(limits, state.demand.wanted(total(row.key(), now), entries, now), now);
        double wait = state.wait(limits);
        if (wait > 0) {
            double spread = Math.min(MOST_WAIT, Math.max(LEAST_WAIT, wait));
            Duration retryAfter = Seconds.duration(spread * (1 + random.nextDouble()));
            return Either.left(
                    Problem.notRun(ProblemKind.LIMIT_REACHED, "The limits of row " + row.key() + " are reached")
                            .withRetryAfter(retryAfter));
        }
        state.take(limits, tokens);
        return Either.right(new Permit(row.key(), limits.tokensPerSecond() > 0 ? tokens : 0, true));
    }

    /**
     * Ends a request that was let in.
     *
     * @param permit the leave that {@link #admit} gave
     * @param tokensUsed tokens that were generated; what was charged beyond them is given back
     */
    public void finished(Permit permit, int tokensUsed, Instant now) {
        RowState state = rows.get(permit.row());
        if (state == null || !permit.counted()) {
            return;
        }
        state.concurrency.ended(state.concurrencyPart, now);
        state.tokens.giveBack(Math.max(0, permit.tokens() - tokensUsed));
    }

    /** This entry's demand for each limited row, for the next heartbeat; also drops rows that are idle. */
    public Map<String, Double> demand(Instant now) {
        rows.values().removeIf(s -> s.demand.idleSince(now.minus(IDLE)) && s.concurrency.inProgress() == 0);
        List<Map.Entry<String, Double>> all = new ArrayList<>();
        rows.forEach((key, state) -> all.add(Map.entry(key.toString(), state.demand.tell(now))));
        all.removeIf(e -> e.getValue() < NEGLIGIBLE);
        all.sort(Map.Entry.<String, Double>comparingByValue().reversed());
        Map<String, Double> told = new LinkedHashMap<>();
        all.stream().limit(MAX_TOLD).forEach(e -> told.put(e.getKey(), e.getValue()));
        return told;
    }

    /**
     * Takes what an agent told in a heartbeat.
     *
     * @param entryDemand demand of all entries linked to the agent, for each row
     * @param linkedEntries entries linked to the agent
     */
    public void told(Incarnation agent, Map<String, Double> entryDemand, int linkedEntries, Instant now) {
        reports.put(agent, new Report(Map.copyOf(entryDemand), linkedEntries, now));
        reports.values().removeIf(r -> r.at.plus(reportLife).isBefore(now));
    }

    /** Forgets what an agent told, once its link is lost. */
    public void lost(Incarnation agent) {
        reports.remove(agent);
    }

    /** The part of a row's limits that this entry may use now, from 0 to 1, for reports. */
    public double part(RowKey row, Instant now) {
        RowState state = rows.get(row);
        return state == null ? 0 : state.demand.part(total(row, now), now);
    }

    /** Agents hear of a change at different times; the largest sum is the safe one. */
    private double total(RowKey row, Instant now) {
        String key = row.toString();
        double most = 0;
        for (Report r : reports.values()) {
            if (!r.at.plus(reportLife).isBefore(now)) {
                most = Math.max(most, r.demand.getOrDefault(key, 0.0));
            }
        }
        return most;
    }

    private int entries(Instant now) {
        int most = 1;
        for (Report r : reports.values()) {
            if (!r.at.plus(reportLife).isBefore(now)) {
                most = Math.max(most, r.entries);
            }
        }
        return most;
    }

    private static boolean isLimited(RowValues v) {
        return v.requestsPerSecond() > 0 || v.concurrency() > 0 || v.tokensPerSecond() > 0;
    }

    private record Report(Map<String, Double> demand, int entries, Instant at) {}

    /** The buckets of one row. */
    private static final class RowState {
        private final DemandShare demand;
        private final TokenBucket requests;
        private final TokenBucket tokens;
        private final ConcurrencyShare concurrency;
        private double part;
        private double concurrencyPart;
        private boolean mayStart;

        /** The buckets start with an even part of one burst, so that all entries together start with one. */
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

        /** Seconds until every limit lets one more request in; 0 if all do now. */
        double wait(RowValues limits) {
            double wait = 0;
            if (limits.requestsPerSecond() > 0) {
                wait = requests.secondsUntil(1, limits.requestsPerSecond() * part);
            }
            if (limits.tokensPerSecond() > 0) {
                wait = Math.max(wait, tokens.secondsUntil(0, limits.tokensPerSecond() * part));
            }
            if (!mayStart) {
                wait = Math.max(wait, Math.max(LEAST_WAIT, concurrency.secondsUntilCredit(concurrencyPart)));
            }
            return wait;
        }

        /** A limit that is not set is not charged, or its debt would hold back the row once it is set. */
        void take(RowValues limits, int count) {
            requests.take(limits.requestsPerSecond() > 0 ? 1 : 0);
            tokens.take(limits.tokensPerSecond() > 0 ? count : 0);
            concurrency.started();
        }
    }
}
