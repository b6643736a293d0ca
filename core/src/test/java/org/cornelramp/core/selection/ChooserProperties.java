package org.cornelramp.core.selection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/** For any fleet, a chosen chain covers every layer once, in order, with one version of the model. */
class ChooserProperties {
    private static final RoutingRequest WORK = TestFleets.modelRequest(100, 20, Duration.ofHours(10));

    @Property(seed = "7101", tries = 400)
    void chainsCoverAllLayersWheneverTheFleetDoes(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 40) int size,
            @ForAll @IntRange(min = 1, max = 12) int total,
            @ForAll ChoicePolicy policy) {
        List<Candidate> fleet = TestFleets.randomFleet(new Random(seed), size, total);
        Either<Problem, Choice> choice = choose(policy, fleet, WORK, seed);
        assertEquals(choice.isRight(), coverable(fleet, "1", total) || coverable(fleet, "2", total));
        choice.peek(c -> assertCoversAllLayers(c.stages(), total));
        choice.peekLeft(p -> assertEquals(p.kind(), ProblemKind.NO_BACKEND_SERVER));
    }

    @Property(seed = "7102", tries = 200)
    void excludedAgentIsNeverChosen(@ForAll long seed, @ForAll ChoicePolicy policy) {
        List<Candidate> fleet = TestFleets.randomFleet(new Random(seed), 30, 4);
        Candidate avoided = fleet.get(7);
        RoutingRequest request = new RoutingRequest(
                TestFleets.MODEL, 10, 10, WORK.deadline(), "", java.util.Set.of(avoided.incarnation()));
        choose(policy, fleet, request, seed).peek(c -> assertTrue(!c.stages().contains(avoided)));
    }

    @Property(seed = "7103", tries = 300)
    void choicesMeetTheDeadlineAndRefusalsStateRetryAfter(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 20_000) int budgetMillis) {
        List<Candidate> fleet = TestFleets.randomFleet(new Random(seed), 30, 3);
        Duration budget = Duration.ofMillis(budgetMillis);
        Either<Problem, Choice> choice =
                choose(ChoicePolicy.EXPECTED_COMPLETION, fleet, TestFleets.modelRequest(500, 100, budget), seed);
        choice.peek(c -> assertTrue(c.expectedTime().compareTo(budget) <= 0));
        choice.peekLeft(p -> {
            boolean retryable = p.kind() == ProblemKind.OVERLOADED || p.kind() == ProblemKind.NO_BACKEND_SERVER;
            assertEquals(retryable, !p.retryAfter().isZero());
        });
    }

    private static Either<Problem, Choice> choose(
            ChoicePolicy policy, List<Candidate> fleet, RoutingRequest request, long seed) {
        Chooser chooser = policy.newChooser(PrefixHints.NONE);
        return chooser.choose(
                fleet, request, TestFleets.HERE, StaticLinkCosts.DEFAULTS, TestFleets.NOW, new Random(seed));
    }

    private static void assertCoversAllLayers(List<Candidate> stages, int total) {
        int layer = 0;
        for (Candidate c : stages) {
            LayerRange range = c.offer().layers().orElseThrow();
            assertEquals(range.from(), layer);
            assertEquals(c.offer().version(), stages.get(0).offer().version());
            layer = range.to();
        }
        assertEquals(layer, total);
    }

    /** Whether the layers can be covered; an exhaustive search, independent of the choosers. */
    private static boolean coverable(List<Candidate> fleet, String version, int total) {
        boolean[] reached = new boolean[total + 1];
        reached[0] = true;
        for (int at = 0; at < total; at++) {
            for (Candidate c : fleet) {
                LayerRange range = c.offer().layers().orElseThrow();
                if (reached[at] && range.from() == at && c.offer().version().equals(version)) {
                    reached[range.to()] = true;
                }
            }
        }
        return reached[total];
    }
}
