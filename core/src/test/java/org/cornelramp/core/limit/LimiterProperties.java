package org.cornelramp.core.limit;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Limits hold over all entries together although each entry learns of the others' demand with a delay. The bounds here are
 * those that the operators' page states; the measured errors are in the design note.
 */
class LimiterProperties {
    private static final int SECONDS = 20;
    private static final Duration SHORT = Duration.ofMillis(20);

    @Property(seed = "8101", tries = 25)
    void steadyDemandGetsTheLimitAndNoMore(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 12) int entries,
            @ForAll @IntRange(min = 1, max = 3) int delay,
            @ForAll @IntRange(min = 20, max = 200) int limit) {
        LimitedFleet fleet = new LimitedFleet(entries, LimitedFleet.limits(limit, 0, 0), delay, new Random(seed));
        fleet.run(SECONDS, (e, t) -> 2.0 * limit / entries, SHORT, 0);
        double ratio = fleet.admitted / (double) (limit * SECONDS);
        assertTrue(ratio > 0.8 && ratio < 1.1, "admitted " + ratio + " of the limit");
    }

    @Property(seed = "8102", tries = 25)
    void demandThatMovesBetweenEntriesExceedsTheLimitOnlySlightly(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 8) int entries,
            @ForAll @IntRange(min = 1, max = 3) int delay,
            @ForAll @IntRange(min = 2, max = 6) int period) {
        int limit = 100;
        LimitedFleet fleet = new LimitedFleet(entries, LimitedFleet.limits(limit, 0, 0), delay, new Random(seed));
        fleet.run(SECONDS, (e, t) -> (int) (t / period) % entries == e ? 3.0 * limit : 5, SHORT, 0);
        double ratio = fleet.admitted / (double) (limit * SECONDS);
        assertTrue(ratio > 0.5 && ratio < 1.1, "admitted " + ratio + " of the limit");
        assertTrue(fleet.maxAdmittedWithin(4) < 4 * limit * 1.25, "in 4 s: " + fleet.maxAdmittedWithin(4));
    }

    @Property(seed = "8103", tries = 15)
    void manyEntriesWithFewRequestsEachStayWithinTheLimit(@ForAll long seed) {
        int limit = 5;
        LimitedFleet fleet = new LimitedFleet(40, LimitedFleet.limits(limit, 0, 0), 2, new Random(seed));
        fleet.run(120, (e, t) -> 0.25, SHORT, 0);
        double ratio = fleet.admitted / (double) (limit * 120);
        assertTrue(ratio > 0.6 && ratio < 1.1, "admitted " + ratio + " of the limit");
    }

    @Property(seed = "8104", tries = 15)
    void demandBelowTheLimitIsSeldomRefused(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int entries) {
        LimitedFleet fleet = new LimitedFleet(entries, LimitedFleet.limits(100, 0, 0), 2, new Random(seed));
        fleet.run(SECONDS, (e, t) -> 50.0 / entries, SHORT, 0);
        double passed = fleet.admitted / (double) fleet.wanted;
        assertTrue(passed > 0.95, "passed " + passed);
    }

    @Property(seed = "8105", tries = 15)
    void concurrencyHoldsInTheMeanAndIsExceededByAtMostOneForEachEntry(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int entries,
            @ForAll @IntRange(min = 1, max = 20) int limit) {
        LimitedFleet fleet = new LimitedFleet(entries, LimitedFleet.limits(0, limit, 0), 2, new Random(seed));
        fleet.run(SECONDS, (e, t) -> 30.0 * limit / entries, Duration.ofMillis(100), 0);
        double mean = fleet.requestSeconds / SECONDS;
        assertTrue(mean < limit * 1.2, "mean in progress " + mean + " of " + limit);
        assertTrue(mean > limit * 0.6, "mean in progress " + mean + " of " + limit);
        assertTrue(fleet.maxInProgress <= limit * 1.5 + entries, "most in progress " + fleet.maxInProgress);
    }

    @Property(seed = "8106", tries = 15)
    void tokensHoldThoughOneRequestMayTakeMoreThanASecondOfThem(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int entries) {
        int limit = 500;
        LimitedFleet fleet = new LimitedFleet(entries, LimitedFleet.limits(0, 0, limit), 2, new Random(seed));
        fleet.run(60, (e, t) -> 10.0 / entries, Duration.ofMillis(200), 1_000);
        double ratio = fleet.tokens / (double) (limit * 60);
        assertTrue(ratio < 1.2, "tokens " + ratio + " of the limit");
        assertTrue(ratio > 0.5, "tokens " + ratio + " of the limit");
    }
}
