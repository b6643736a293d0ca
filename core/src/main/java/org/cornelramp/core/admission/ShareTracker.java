package org.cornelramp.core.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.cornelramp.core.admission.SlidingSums.Measure;
import org.cornelramp.core.model.OrganisationId;

/**
 * Requests offered and admitted, and their cost, by priority and by organisation over the last 5 s. Requests without an
 * organisation share one row. Owned by one thread.
 *
 * <p>Invariant: at most {@link #MAX_ORGANISATIONS} rows by organisation; beyond that the row that was used least
 * recently is dropped, and its organisation starts again without history.
 */
public final class ShareTracker {
    /** 512 rows take about 250 KB. */
    static final int MAX_ORGANISATIONS = 512;

    /** Part of the mean share of admitted requests below which a priority or an organisation is starved. */
    private static final double STARVED_PART = 0.25;

    /**
     * Requests that must be missing to the starved part. Rounds to whole requests: a lower value would let the first
     * request of every organisation pass more urgent ones, and at a higher one a priority that offers three requests in
     * the window would never be protected.
     */
    private static final double MIN_MISSING = 0.5;

    /** Amount by which the share of a less urgent priority may be larger; under the 0.05 that are allowed. */
    private static final double MAX_INVERSION = 0.04;

    /** Requests by which a share must be too small, so that a single lost request does not count. */
    private static final double MIN_INVERTED = 2;

    private final SlidingSums all = new SlidingSums();
    private final Map<Integer, SlidingSums> byPriority = new HashMap<>();
    private final Map<Optional<OrganisationId>, SlidingSums> byOrganisation = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Optional<OrganisationId>, SlidingSums> eldest) {
            return size() > MAX_ORGANISATIONS;
        }
    };
    private long firstMillis = Long.MAX_VALUE;

    /** Returns a copy that changes independently. */
    ShareTracker copy() {
        ShareTracker copy = new ShareTracker();
        all.copyTo(copy.all);
        byPriority.forEach((priority, row) -> copy.byPriority.put(priority, row.copy()));
        byOrganisation.forEach((organisation, row) -> copy.byOrganisation.put(organisation, row.copy()));
        copy.firstMillis = firstMillis;
        return copy;
    }

    /** Records a request that arrived, whether it will be admitted or not. */
    public void recordOffered(int priority, Optional<OrganisationId> organisation, double cost, long nowMillis) {
        firstMillis = Math.min(firstMillis, nowMillis);
        record(Measure.OFFERED, Measure.OFFERED_COST, priority, organisation, cost, nowMillis);
    }

    /** Records a request that was admitted. */
    public void recordAdmitted(int priority, Optional<OrganisationId> organisation, double cost, long nowMillis) {
        record(Measure.ADMITTED, Measure.ADMITTED_COST, priority, organisation, cost, nowMillis);
    }

    /** Charges an organisation for a retry before the time that it was given, as if the request had used capacity. */
    public void recordEarlyRetry(Optional<OrganisationId> organisation, double cost, long nowMillis) {
        organisationRow(organisation).add(Measure.ADMITTED_COST, cost, nowMillis);
    }

    /** Cost of an organisation's requests admitted within the window, and of its early retries. */
    public double admittedCost(Optional<OrganisationId> organisation, long nowMillis) {
        return sum(byOrganisation.get(organisation), Measure.ADMITTED_COST, nowMillis);
    }

    /** Cost per second of the requests offered within the window with a more urgent priority than the given one. */
    public double moreUrgentCostPerSecond(int priority, long nowMillis) {
        double cost = 0;
        for (Map.Entry<Integer, SlidingSums> row : byPriority.entrySet()) {
            cost += row.getKey() < priority ? row.getValue().sum(Measure.OFFERED_COST, nowMillis) : 0;
        }
        // At least a second, so that the first few requests after a start are not taken for a high rate.
        long observedMillis = Math.max(1_000, Math.min(SlidingSums.WINDOW_MILLIS, nowMillis - firstMillis));
        return cost * 1_000 / observedMillis;
    }

    /** Whether a priority got less than a quarter of the mean share of its requests. */
    public boolean isStarved(int priority, long nowMillis) {
        return isStarved(byPriority.get(priority), nowMillis);
    }

    /** Whether an organisation got less than a quarter of the mean share of its requests. */
    public boolean isStarved(Optional<OrganisationId> organisation, long nowMillis) {
        return isStarved(byOrganisation.get(organisation), nowMillis);
    }

    /**
     * Whether a priority got a smaller share of its requests than a less urgent one. Waiting requests don't count:
     * where clients of the less urgent priority wait longer, most of them are served when the scarcity ends.
     *
     * @param waiting number of waiting requests by priority
     */
    public boolean isInverted(int priority, ToIntFunction<Integer> waiting, long nowMillis) {
        double own = decidedShare(priority, waiting, nowMillis);
        double offered = sum(byPriority.get(priority), Measure.OFFERED, nowMillis);
        double allowed = Math.max(MAX_INVERSION, offered > 0 ? MIN_INVERTED / offered : 1);
        return byPriority.keySet().stream()
                .anyMatch(other -> other > priority && decidedShare(other, waiting, nowMillis) > own + allowed);
    }

    private double decidedShare(int priority, ToIntFunction<Integer> waiting, long nowMillis) {
        SlidingSums row = byPriority.get(priority);
        double admitted = sum(row, Measure.ADMITTED, nowMillis);
        double decided = Math.max(admitted, sum(row, Measure.OFFERED, nowMillis) - waiting.applyAsInt(priority));
        return decided > 0 ? admitted / decided : 0;
    }

    private static double share(SlidingSums row, long nowMillis) {
        double offered = sum(row, Measure.OFFERED, nowMillis);
        return offered > 0 ? sum(row, Measure.ADMITTED, nowMillis) / offered : 1;
    }

    private boolean isStarved(SlidingSums row, long nowMillis) {
        double due = STARVED_PART * Math.min(1, share(all, nowMillis)) * sum(row, Measure.OFFERED, nowMillis);
        return due - sum(row, Measure.ADMITTED, nowMillis) >= MIN_MISSING;
    }

    private void record(
            Measure count,
            Measure costs,
            int priority,
            Optional<OrganisationId> organisation,
            double cost,
            long nowMillis) {
        SlidingSums priorityRow = byPriority.computeIfAbsent(priority, p -> new SlidingSums());
        for (SlidingSums row : new SlidingSums[] {all, priorityRow, organisationRow(organisation)}) {
            row.add(count, 1, nowMillis);
            row.add(costs, cost, nowMillis);
        }
    }

    private SlidingSums organisationRow(Optional<OrganisationId> organisation) {
        return byOrganisation.computeIfAbsent(organisation, o -> new SlidingSums());
    }

    private static double sum(SlidingSums row, Measure measure, long nowMillis) {
        return row == null ? 0 : row.sum(measure, nowMillis);
    }
}
