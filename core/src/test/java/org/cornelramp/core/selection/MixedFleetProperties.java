package org.cornelramp.core.selection;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** On engines of mixed speeds, with several entries and delayed load reports, the choice beats the baselines. */
class MixedFleetProperties {
    private static final Duration BUDGET = Duration.ofSeconds(6);

    @Property(seed = "7201", tries = 3)
    void p99IsBelowThatOfEveryBaseline(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int entries) {
        int p99 = run(ChoicePolicy.EXPECTED_COMPLETION, entries, 0.85, seed).answerMillisQuantile(0.99);
        for (ChoicePolicy other : ChoicePolicy.values()) {
            if (other != ChoicePolicy.EXPECTED_COMPLETION) {
                int otherP99 = run(other, entries, 0.85, seed).answerMillisQuantile(0.99);
                assertTrue(p99 < 0.7 * otherP99, p99 + " ms, with " + other.text() + " " + otherP99 + " ms");
            }
        }
    }

    @Property(seed = "7202", tries = 3)
    void overloadKeepsThroughputOfTimelyAnswers(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int entries) {
        double throughput =
                run(ChoicePolicy.EXPECTED_COMPLETION, entries, 2, seed).relativeThroughput();
        assertTrue(throughput > 0.93, "throughput " + throughput);
    }

    private static MixedFleet run(ChoicePolicy policy, int entries, double load, long seed) {
        MixedFleet fleet = new MixedFleet(16, entries, policy, BUDGET, new Random(seed));
        fleet.run(12, load);
        return fleet;
    }
}
