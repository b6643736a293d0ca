package org.cornelramp.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.path.EngineFixtures;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.EngineSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against refused streams when five engines of a busy fleet of 130 cards die at once, before their layers are
 * loaded elsewhere. Streams arrive from five data centres at 228 a second; one without a path is refused.
 */
public class EngineDeathsUnderLoadTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(3_400);
    private static final List<String> DATA_CENTRES = List.of("norte", "mixco", "sur", "villa", "oriente");
    private static final double STREAMS_PER_SECOND = 228;
    private static final long DURATION_MILLIS = 20_000;
    private static final int MAX_ANSWER_TOKENS = 324;
    private static final int MIN_ANSWER_TOKENS = 20;

    /** Actual time for a token as a part of the planned time, as the search assumes a wait for each step. */
    private static final double ACTUAL_TOKEN_TIME_PART = 0.7;

    private static List<BackendServer> fleet() {
        List<BackendServer> engines = new ArrayList<>();
        add(engines, "norte", 0, 3, 10, 13);
        add(engines, "mixco", 1, 2, 11, 13);
        add(engines, "sur", 1, 2, 17, 6);
        add(engines, "villa", 0, 3, 9, 13);
        add(engines, "oriente", 1, 1, 11, 13);
        return PlannerTest.apply(engines, Planner.plan(SPEC, engines, Set.of(), Set.of()));
    }

    private static void add(List<BackendServer> engines, String dataCentre, int... counts) {
        String[] cards = {"h100", "a100s", "l4", "t4"};
        for (int card = 0; card < cards.length; card++) {
            PlannerTest.add(engines, dataCentre, cards[card], counts[card]);
        }
    }

    /** Counts of the streams of a run. */
    private record Result(int sent, int refused, double meanHops) {}

    /** A stream in progress. */
    private record ActiveStream(double endMillis, StagePath path) {}

    private static Result simulate(List<BackendServer> engines, Random random) {
        EngineLoads loads = new EngineLoads();
        PriorityQueue<ActiveStream> activeStreams =
                new PriorityQueue<>(Comparator.comparingDouble(ActiveStream::endMillis));
        int sent = 0;
        int refused = 0;
        double hops = 0;
        for (double now = 0; now < DURATION_MILLIS; now += 1_000 / STREAMS_PER_SECOND) {
            while (!activeStreams.isEmpty() && activeStreams.peek().endMillis() < now) {
                loads.remove(activeStreams.poll().path(), SPEC.meanRequestTokens());
            }
            String from = DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size()));
            int answer = MIN_ANSWER_TOKENS + random.nextInt(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS);
            Optional<StagePath> path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand(from));
            sent++;
            if (path.isEmpty()) {
                refused++;
                continue;
            }
            hops += path.get().hops().size();
            loads.add(path.get(), SPEC.meanRequestTokens());
            activeStreams.add(new ActiveStream(
                    now + answer * ACTUAL_TOKEN_TIME_PART * path.get().tokenMillis(), path.get()));
        }
        return new Result(sent, refused, hops / (sent - refused));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** The layers of the dead engines have other holders, and the remaining memory suffices for all streams. */
    @Test(dataProvider = "seeds")
    public void everyStreamFindsAPathAfterFiveDeaths(long seed) {
        Random random = new Random(seed);
        List<BackendServer> left = fleet();
        for (int i = 0; i < 5; i++) {
            left.remove(random.nextInt(left.size()));
        }
        assertEquals(simulate(left, random).refused(), 0);
    }

    /** With paths as long as a tenth of the fleet, five deaths would interrupt four streams in ten. */
    @Test
    public void pathsAreShorterThanATenthOfTheFleet() {
        List<BackendServer> all = fleet();
        double hops = simulate(all, new Random(1)).meanHops();
        assertTrue(hops < all.size() / 10.0, "mean number of engines on a path: " + hops);
    }
}
