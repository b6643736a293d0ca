package org.cornelramp.core.ledger;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;

/**
 * Callers send, repeat, query and cancel keys in any order, while calls start and end and the wall clock jumps in both
 * directions. No key starts twice, and none starts after its caller was told that it did not run.
 */
class LedgerProperties {
    private static final Incarnation SELF = new Incarnation(new BackendServerId("app-1"), 7);
    private static final Incarnation OTHER = new Incarnation(new BackendServerId("app-1"), 8);
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WINDOW = Duration.ofSeconds(40);
    private static final int KEYS = 9;
    private static final int MAX_KEYS = 5;
    private static final int ACTIONS = 7;

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Arbitraries.integers()
                .between(0, 9_999)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofMaxSize(160)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    @Property(seed = "90210", tries = 4_000)
    void noKeyRunsTwiceOrAfterNotRun(@ForAll("choices") List<Integer> choices) {
        Simulation simulation = new Simulation();
        choices.forEach(simulation::act);
        simulation.check();
    }

    private static final class Simulation {
        final Ledger ledger = new Ledger(SELF, WINDOW, MAX_KEYS, 60);
        final Map<String, Integer> starts = new HashMap<>();
        final Set<String> notRun = new HashSet<>();
        final Set<String> running = new HashSet<>();
        final List<String> queued = new ArrayList<>();
        Instant now = START;

        void act(int choice) {
            int key = choice / ACTIONS % KEYS;
            String name = "key-" + key;
            int extra = choice / ACTIONS / KEYS;
            switch (choice % ACTIONS) {
                case 0, 1 -> admit(name, key, extra);
                case 2 -> settle(name, key, extra % 2 == 0);
                case 3 -> start(name);
                case 4 -> finish(name);
                case 5 -> tombstone(name);
                default -> now = now.plusSeconds(extra % 5 == 0 ? -60 : extra % 23);
            }
            if (ledger.size() > MAX_KEYS || ledger.bytes() > 60) {
                throw new AssertionError("The ledger exceeded its bounds");
            }
        }

        /** Keys are minted at fixed times, some of them ahead of this agent's clock. */
        Instant minted(int key) {
            return START.plusSeconds(key * 12L);
        }

        void admit(String name, int key, int extra) {
            Incarnation bound = extra % 11 == 10 ? OTHER : SELF;
            String fingerprint = extra % 7 == 6 ? "other" : "same";
            KeyVerdict verdict = ledger.admit(new KeyRequest(name, bound, fingerprint, minted(key)), now);
            if (verdict instanceof KeyVerdict.Run) {
                queued.add(name);
            } else if (verdict instanceof KeyVerdict.Settled settled) {
                recordResult(name, settled.result());
            }
        }

        void settle(String name, int key, boolean cancel) {
            KeyVerdict verdict = ledger.settle(new KeyRequest(name, SELF, "", minted(key)), cancel, now);
            if (verdict instanceof KeyVerdict.Settled settled) {
                recordResult(name, settled.result());
            }
        }

        void recordResult(String name, KeyResult result) {
            boolean reused =
                    result.kind().filter(ProblemKind.KEY_REUSED::equals).isPresent();
            if (result.outcome() == Outcome.NOT_RUN && !reused) {
                notRun.add(name);
            }
        }

        void start(String name) {
            if (queued.remove(name) && ledger.start(name)) {
                starts.merge(name, 1, Integer::sum);
                running.add(name);
            }
        }

        void finish(String name) {
            if (running.remove(name)) {
                ledger.finish(
                        name, KeyResult.answered(201, "t/x", name.repeat(4).getBytes(StandardCharsets.UTF_8)));
            }
        }

        void tombstone(String name) {
            if (ledger.tombstone(name, KeyResult.notRun(ProblemKind.OVERLOADED, "full", 9))) {
                notRun.add(name);
            }
        }

        void check() {
            starts.forEach((name, count) -> {
                if (count > 1 || notRun.contains(name)) {
                    throw new AssertionError(name + " started " + count + " times, not-run=" + notRun.contains(name));
                }
            });
        }
    }
}
