package org.cornelramp.core.fence;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;

/**
 * Orders of past and current leaders reach an agent in any order, between heartbeats and restarts of the agent. The terms
 * of the orders that pass never decrease, not even over a restart.
 */
class TermGuardProperties {

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Arbitraries.integers()
                .between(0, 79)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofMaxSize(60)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    @Property(seed = "1177", tries = 2_000)
    void termsThatPassNeverFall(@ForAll("choices") List<Integer> choices) {
        TermGuard guard = new TermGuard();
        long onLog = TermGuard.UNKNOWN;
        long passed = TermGuard.UNKNOWN;
        for (int choice : choices) {
            long term = choice / 4;
            switch (choice % 4) {
                case 0 -> guard = new TermGuard();
                case 1 -> guard.observe(Math.min(term, onLog));
                case 2 -> guard.markLearned(onLog);
                default -> {
                    onLog = Math.max(onLog, term);
                    if (guard.decide(term) == TermGuard.Decision.PASS) {
                        if (term < passed) {
                            throw new AssertionError("Term " + term + " passed after " + passed);
                        }
                        passed = term;
                    }
                }
            }
        }
    }
}
