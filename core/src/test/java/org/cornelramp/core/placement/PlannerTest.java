package org.cornelramp.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;
import org.cornelramp.core.routing.EngineSpec;
import org.testng.annotations.Test;

/** Which engine holds which layers, on the cards of the deployments of today. */
public class PlannerTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(9_000);

    /** The cards of today's three data centres, all empty. */
    private static List<BackendServer> today() {
        List<BackendServer> engines = new ArrayList<>();
        add(engines, "norte", "a100s", 2);
        add(engines, "norte", "l4", 4);
        add(engines, "norte", "t4", 7);
        add(engines, "mixco", "h100", 1);
        add(engines, "mixco", "a100s", 1);
        add(engines, "mixco", "l4", 5);
        add(engines, "mixco", "t4", 7);
        add(engines, "sur", "a100s", 1);
        add(engines, "sur", "l4", 8);
        add(engines, "sur", "t4", 3);
        return engines;
    }

    static void add(List<BackendServer> engines, String dataCentre, String card, int count) {
        for (int i = 0; i < count; i++) {
            engines.add(EngineFixtures.engine(dataCentre + "-" + card + "-" + i, dataCentre, card, 0, 0));
        }
    }

    static List<BackendServer> apply(List<BackendServer> engines, List<Placement> orders) {
        Map<BackendServerId, Placement> byId = new HashMap<>();
        orders.forEach(order -> byId.put(order.server().id(), order));
        return engines.stream()
                .map(engine -> byId.containsKey(engine.id())
                        ? engine.withLayers(Optional.of(byId.get(engine.id()).layers()))
                        : engine)
                .collect(Collectors.toList());
    }

    private static List<Placement> plan(List<BackendServer> engines) {
        return Planner.plan(SPEC, engines, Set.of(), Set.of());
    }

    private static boolean covers(List<BackendServer> engines, String dataCentre) {
        for (int layer = 0; layer < EngineFixtures.LAYERS; layer++) {
            int wanted = layer;
            boolean held =
                    engines.stream().anyMatch(one -> one.dataCentre().value().equals(dataCentre) && one.holds(wanted));
            if (!held) {
                return false;
            }
        }
        return true;
    }

    private static boolean isNeeded(BackendServer engine, List<BackendServer> all, String dataCentre) {
        List<BackendServer> left = new ArrayList<>(all);
        left.remove(engine);
        return !covers(left, dataCentre);
    }

    @Test
    public void givesEachDataCentreAWholeCopy() {
        List<BackendServer> placed = apply(today(), plan(today()));
        for (String dataCentre : List.of("norte", "mixco", "sur")) {
            assertTrue(covers(placed, dataCentre), dataCentre);
        }
    }

    @Test
    public void ordersNoEngineMoreThanItsCardHolds() {
        for (Placement order : plan(today())) {
            int layers = order.layers().to() - order.layers().from();
            double mb = SPEC.card(order.server().card()).orElseThrow().memoryMb();
            assertTrue(layers * SPEC.layerMb() < mb, order.toString());
        }
    }

    @Test
    public void isTheSameFromAnyOrderOfTheSameEngines() {
        List<BackendServer> shuffled = today();
        Collections.shuffle(shuffled, new Random(5));
        assertEquals(plan(shuffled), plan(today()));
    }

    @Test
    public void leavesAFleetAloneThatHoldsItsPlan() {
        List<BackendServer> placed = apply(today(), plan(today()));
        assertEquals(plan(placed), List.of());
    }

    /**
     * An engine of a data centre dies while others there hold second copies. Its streams go elsewhere at once; the plan
     * moves one spare engine, not the fast ones that the paths of all others run through, and moves nothing else.
     */
    @Test
    public void mendsAHoleWithASpareEngine() {
        List<BackendServer> placed = apply(today(), plan(today()));
        List<BackendServer> whole = List.copyOf(placed);
        BackendServer dead = whole.stream()
                .filter(one -> !one.card().equals("h100") && isNeeded(one, whole, "mixco"))
                .findFirst()
                .orElseThrow();
        placed.remove(dead);
        for (int rounds = 0; rounds < 6 && !covers(placed, "mixco"); rounds++) {
            List<Placement> orders = plan(placed);
            assertTrue(orders.size() <= 1, orders.toString());
            for (Placement order : orders) {
                assertTrue(!order.server().card().equals("h100"), order.toString());
            }
            placed = apply(placed, orders);
        }
        assertTrue(covers(placed, "mixco"), Planner.coverage(SPEC, placed));
    }

    /**
     * In a release a new engine registers about a second before the old one says that it leaves. It is kept empty for
     * the layers that become free, instead of loading a second copy first and then those.
     */
    @Test
    public void keepsANewcomerForTheLayersOfTheOneThatLeaves() {
        List<BackendServer> placed = apply(today(), plan(today()));
        BackendServer newcomer = EngineFixtures.engine("new", "sur", "l4", 0, 0);
        placed.add(newcomer);
        assertEquals(Planner.plan(SPEC, placed, Set.of(), Set.of(newcomer.id())), List.of());
        BackendServer old = placed.stream()
                .filter(one -> one.id().value().equals("sur-l4-3"))
                .findFirst()
                .orElseThrow();
        placed.remove(old);
        List<Placement> orders = Planner.plan(SPEC, placed, Set.of(), Set.of(newcomer.id()));
        assertEquals(orders.get(0).server().id(), newcomer.id());
        assertTrue(covers(apply(placed, orders), "sur"), orders.toString());
    }

    @Test
    public void ordersNothingFromAnEngineThatIsStillLoading() {
        List<BackendServer> empty = today();
        Set<BackendServerId> all = empty.stream().map(BackendServer::id).collect(Collectors.toSet());
        assertEquals(Planner.plan(SPEC, empty, all, Set.of()), List.of());
    }

    /**
     * Engines have left for good, and no spare one is left in the data centre. Without this its copy would stay broken
     * for the rest of the day and the others would carry its traffic. The engines beside the gap take its layers with
     * memory that they kept for requests, step by step, and never give up a layer that nobody else holds.
     */
    @Test
    public void theRestCloseAGapThatNoSpareEngineFills() {
        List<BackendServer> placed = apply(today(), plan(today()));
        for (String gone : List.of("norte-a100s-1", "norte-t4-6")) {
            placed.removeIf(one -> one.id().value().equals(gone));
        }
        assertTrue(!covers(placed, "norte"));
        for (int rounds = 0; rounds < 30 && !covers(placed, "norte"); rounds++) {
            List<Placement> orders = plan(placed);
            List<BackendServer> next = apply(placed, orders);
            for (int layer = 0; layer < EngineFixtures.LAYERS; layer++) {
                assertTrue(holders(next, layer) > 0 || holders(placed, layer) == 0, "layer " + layer + " " + orders);
            }
            for (Placement order : orders) {
                double mb = SPEC.card(order.server().card()).orElseThrow().memoryMb();
                assertTrue((order.layers().to() - order.layers().from()) * SPEC.layerMb() < mb, order.toString());
            }
            placed = next;
        }
        assertTrue(covers(placed, "norte"), Planner.coverage(SPEC, placed));
    }

    private static long holders(List<BackendServer> engines, int layer) {
        return engines.stream()
                .filter(one -> one.dataCentre().value().equals("norte") && one.holds(layer))
                .count();
    }
}
