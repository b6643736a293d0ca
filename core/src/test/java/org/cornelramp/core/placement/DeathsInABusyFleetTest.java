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
 * Pattern: engines die in a busy fleet of 130 cards. Streams come from five data centres at 228 a second, and five engines
 * die at once before anything is loaded elsewhere. Callers whose stream finds no path are refused.
 */
public class DeathsInABusyFleetTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(3_400);
    private static final List<String> DATA_CENTRES = List.of("norte", "mixco", "sur", "villa", "oriente");
    private static final double STREAMS_PER_SECOND = 228;
    private static final long MILLIS = 20_000;
    private static final int MOST_ANSWER = 324;
    private static final int LEAST_ANSWER = 20;

    /** Time of a real token, as a part of the planned one: the search plans with waiting for each step. */
    private static final double REAL_PART = 0.7;

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

    /** What became of the streams of a run. */
    private record Outcome(int sent, int refused, double meanHops) {}

    /** A stream under way, by its place in the list of all paths. */
    private record UnderWay(double endMillis, StagePath path) {}

    private static Outcome play(List<BackendServer> engines, Random random) {
        EngineLoads loads = new EngineLoads();
        PriorityQueue<UnderWay> underWay = new PriorityQueue<>(Comparator.comparingDouble(UnderWay::endMillis));
        int sent = 0;
        int refused = 0;
        double hops = 0;
        for (double now = 0; now < MILLIS; now += 1_000 / STREAMS_PER_SECOND) {
            while (!underWay.isEmpty() && underWay.peek().endMillis() < now) {
                loads.remove(underWay.poll().path(), SPEC.meanRequestTokens());
            }
            String from = DATA_CENTRES.get(random.nextInt(DATA_CENTRES.size()));
            int answer = LEAST_ANSWER + random.nextInt(MOST_ANSWER - LEAST_ANSWER);
            Optional<StagePath> path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand(from));
            sent++;
            if (path.isEmpty()) {
                refused++;
                continue;
            }
            hops += path.get().hops().size();
            loads.add(path.get(), SPEC.meanRequestTokens());
            underWay.add(new UnderWay(now + answer * REAL_PART * path.get().tokenMillis(), path.get()));
        }
        return new Outcome(sent, refused, hops / (sent - refused));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** The layers of the dead have another holder, and the memory that is left takes all streams. */
    @Test(dataProvider = "seeds")
    public void everyStreamFindsAPathAfterFiveDeaths(long seed) {
        Random random = new Random(seed);
        List<BackendServer> left = fleet();
        for (int i = 0; i < 5; i++) {
            left.remove(random.nextInt(left.size()));
        }
        assertEquals(play(left, random).refused(), 0);
    }

    /** Of paths as long as a tenth of the fleet, five deaths would meet four in ten. */
    @Test
    public void pathsAreShorterThanATenthOfTheFleet() {
        List<BackendServer> all = fleet();
        double hops = play(all, new Random(1)).meanHops();
        assertTrue(hops < all.size() / 10.0, "engines on a path, in the mean: " + hops);
    }
}
