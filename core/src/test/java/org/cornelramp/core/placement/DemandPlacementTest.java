package org.cornelramp.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.path.EngineFixtures;
import org.cornelramp.core.routing.EngineSpec;
import org.testng.annotations.Test;

/** Placement by demand and pace, on the cards of deployment V with demand of 100 requests a second in all. */
public class DemandPlacementTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(9_000);
    private static final DataCentre NORTE = new DataCentre("norte");

    private static List<BackendServer> fleet() {
        List<BackendServer> engines = new ArrayList<>();
        for (String site : List.of("norte", "mixco", "sur")) {
            PlannerTest.add(engines, site, "a100s", 1);
            PlannerTest.add(engines, site, "l4", 8);
            PlannerTest.add(engines, site, "t4", 3);
        }
        return engines;
    }

    private static List<Placement> plan(List<BackendServer> engines, PlacementPreferences preferences) {
        return Planner.plan(SPEC, engines, Set.of(), Set.of(), preferences);
    }

    private static double copies(List<Placement> orders, String site) {
        return orders.stream()
                        .filter(order -> order.server().dataCentre().value().equals(site))
                        .mapToInt(order -> order.layers().to() - order.layers().from())
                        .sum()
                / (double) SPEC.layers();
    }

    private static Map<DataCentre, Double> arrivals(double norte, double mixco, double sur) {
        return Map.of(NORTE, norte, new DataCentre("mixco"), mixco, new DataCentre("sur"), sur);
    }

    /** Guards against a fifth more demand in one data centre that changes nothing there, or something elsewhere. */
    @Test
    public void aFifthMoreDemandGivesMoreCopiesThereOnly() {
        DemandFactors demand = new DemandFactors();
        Map<DataCentre, Double> factors = Map.of();
        for (long now = 0; now <= 180_000; now += 150) {
            factors = demand.update(arrivals(37.5, 31.25, 31.25), now);
        }
        assertEquals(factors, Map.of(NORTE, 1.125));
        List<Placement> before = plan(fleet(), PlacementPreferences.NONE);
        List<Placement> after = plan(fleet(), new PlacementPreferences(factors, Set.of(), 6));
        assertTrue(copies(after, "norte") > copies(before, "norte"));
        assertEquals(copies(after, "mixco"), copies(before, "mixco"));
        assertEquals(copies(after, "sur"), copies(before, "sur"));
        assertEquals(
                plan(PlannerTest.apply(fleet(), before), new PlacementPreferences(factors, Set.of(), 6)), List.of());
    }

    /** Guards against aims that follow a wave of 15 s and 55%, with even demand and with a fifth more in one place. */
    @Test
    public void aWaveChangesNoAim() {
        for (int phase = 0; phase < 15; phase++) {
            DemandFactors even = new DemandFactors();
            DemandFactors uneven = new DemandFactors();
            Set<Double> aims = new HashSet<>();
            for (long now = 0; now <= 300_000; now += 150) {
                double wave = 0.55 * Math.sin(2 * Math.PI * (now / 15_000.0 + phase / 15.0));
                assertEquals(even.update(arrivals(33 * (1 + wave), 33 * (1 - wave), 33), now), Map.of());
                Map<DataCentre, Double> more = arrivals(37.5 * (1 + wave), 31.25 * (1 - wave), 31.25);
                aims.add(uneven.update(more, now).getOrDefault(NORTE, 1.0));
            }
            assertEquals(aims.size(), 2, aims.toString());
        }
    }

    /** Guards against plans that differ from those of the planner before it knew of demand: the sum is that planner's. */
    @Test
    public void withoutReportsThePlanIsUnchanged() {
        StringBuilder plans = new StringBuilder();
        for (int seed = 0; seed < 200; seed++) {
            List<BackendServer> engines = fleet();
            Random random = new Random(seed);
            for (int round = 0; round < 6; round++) {
                List<Placement> orders = Planner.plan(SPEC, engines, Set.of(), Set.of());
                orders.forEach(order -> plans.append(order.server().id()).append(order.layers()));
                engines = new ArrayList<>(PlannerTest.apply(engines, orders));
                engines.remove(random.nextInt(engines.size()));
            }
        }
        assertEquals(plans.toString().hashCode(), 1_328_980_384);
        assertEquals(new DemandFactors().update(Map.of(), 0), Map.of());
    }

    /**
     * Guards against a slow engine that stays the only holder of layers while another can hold them, and against moves
     * for which a layer loses its last sound holder, also while another engine is still loading it.
     */
    @Test
    public void relievesSlowOnlyHoldersWithoutNewGaps() {
        List<BackendServer> engines = PlannerTest.apply(fleet(), plan(fleet(), PlacementPreferences.NONE));
        BackendServer held = engines.get(1);
        LayerRange range = held.layers().orElseThrow();
        BackendServer spare = EngineFixtures.engine("spare", "norte", "l4", range.from(), range.to());
        engines.add(spare);
        Set<BackendServerId> slow =
                Set.of(engines.get(2).id(), engines.get(3).id(), engines.get(9).id());
        assertEquals(plan(engines, new PlacementPreferences(Map.of(), slow, 0)), List.of());
        PlacementPreferences one = new PlacementPreferences(Map.of(), slow, 1);
        Set<BackendServerId> loading = new HashSet<>();
        engines.forEach(engine -> loading.add(engine.id()));
        loading.remove(held.id());
        assertEquals(Planner.plan(SPEC, engines, loading, Set.of(), one), List.of());
        int loads = 0;
        for (List<Placement> orders = plan(engines, one); !orders.isEmpty(); orders = plan(engines, one)) {
            assertEquals(orders.size(), 1);
            Set<Integer> before = soundlyHeld(engines, slow);
            engines = PlannerTest.apply(engines, orders);
            Set<Integer> after = soundlyHeld(engines, slow);
            assertTrue(after.containsAll(before) && after.size() > before.size(), orders.toString());
            loads++;
        }
        assertTrue(loads > 0);
    }

    private static Set<Integer> soundlyHeld(List<BackendServer> engines, Set<BackendServerId> slow) {
        Set<Integer> held = new HashSet<>();
        engines.stream()
                .filter(one -> one.dataCentre().equals(NORTE) && !slow.contains(one.id()))
                .flatMap(one -> one.layers().stream())
                .forEach(range -> IntStream.range(range.from(), range.to()).forEach(held::add));
        return held;
    }

    /** Guards against a load for one report of a slow engine, and against forgetting one that is reported seldom. */
    @Test
    public void anEngineIsSlowOnceReportedForLongEnough() {
        BackendServerId id = new BackendServerId("e1");
        SlowEngines engines = new SlowEngines();
        Map<BackendServerId, Double> report = Map.of(id, 12.0);
        engines.update(report, 0);
        engines.update(report, 4_000);
        assertEquals(engines.update(Map.of(), 9_000), Set.of());
        engines.update(report, 9_100);
        assertEquals(engines.update(Map.of(), 19_000), Set.of(id));
        assertEquals(engines.update(Map.of(), 19_200), Set.of());
    }
}
