package org.cornelramp.core.fence;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Orders of many holders, old and new, reach an agent in any order, between heartbeats and restarts of the agent.
 * The terms that pass never fall, over restarts neither.
 */
class TermGuardProperties {

    @Property(seed = "1177", tries = 2_000)
    void termsThatPassNeverFall(@ForAll @Size(max = 60) List<@IntRange(max = 79) Integer> choices) {
        TermGuard guard = new TermGuard();
        long onLog = TermGuard.UNKNOWN;
        long passed = TermGuard.UNKNOWN;
        for (int choice : choices) {
            long term = choice / 4;
            switch (choice % 4) {
                case 0 -> guard = new TermGuard();
                case 1 -> guard.heard(Math.min(term, onLog));
                case 2 -> guard.learned(onLog);
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
