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

/** Placement of the layers on the cards of the deployments. */
public class PlannerTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(9_000);

    /** The cards of the three data centres of a deployment, all empty. */
    private static List<BackendServer> emptyFleet() {
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
        List<BackendServer> placed = apply(emptyFleet(), plan(emptyFleet()));
        for (String dataCentre : List.of("norte", "mixco", "sur")) {
            assertTrue(covers(placed, dataCentre), dataCentre);
        }
    }

    @Test
    public void ordersNoEngineMoreThanItsCardHolds() {
        for (Placement order : plan(emptyFleet())) {
            int layers = order.layers().to() - order.layers().from();
            double mb = SPEC.card(order.server().card()).orElseThrow().memoryMb();
            assertTrue(layers * SPEC.layerMb() < mb, order.toString());
        }
    }

    @Test
    public void doesNotDependOnTheOrderOfTheEngines() {
        List<BackendServer> shuffled = emptyFleet();
        Collections.shuffle(shuffled, new Random(5));
        assertEquals(plan(shuffled), plan(emptyFleet()));
    }

    @Test
    public void ordersNothingOnceThePlanIsInPlace() {
        List<BackendServer> placed = apply(emptyFleet(), plan(emptyFleet()));
        assertEquals(plan(placed), List.of());
    }

    /**
     * An engine dies while others in its data centre hold second copies, so its streams continue on these at once. Guards
     * against plans that move the fast engines that all other paths contain, or more than one engine at a time: the plan
     * moves one redundant engine.
     */
    @Test
    public void fillsAGapWithARedundantEngine() {
        List<BackendServer> placed = apply(emptyFleet(), plan(emptyFleet()));
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
     * In a rolling release a new engine registers about a second before the old one announces that it leaves. Guards
     * against a new engine that first loads a second copy and then the layers of the old one.
     */
    @Test
    public void reservesANewEngineForTheLayersOfALeavingOne() {
        List<BackendServer> placed = apply(emptyFleet(), plan(emptyFleet()));
        BackendServer added = EngineFixtures.engine("new", "sur", "l4", 0, 0);
        placed.add(added);
        assertEquals(Planner.plan(SPEC, placed, Set.of(), Set.of(added.id())), List.of());
        BackendServer old = placed.stream()
                .filter(one -> one.id().value().equals("sur-l4-3"))
                .findFirst()
                .orElseThrow();
        placed.remove(old);
        List<Placement> orders = Planner.plan(SPEC, placed, Set.of(), Set.of(added.id()));
        assertEquals(orders.get(0).server().id(), added.id());
        assertTrue(covers(apply(placed, orders), "sur"), orders.toString());
    }

    @Test
    public void ordersNothingFromAnEngineThatIsStillLoading() {
        List<BackendServer> empty = emptyFleet();
        Set<BackendServerId> all = empty.stream().map(BackendServer::id).collect(Collectors.toSet());
        assertEquals(Planner.plan(SPEC, empty, all, Set.of()), List.of());
    }

    /**
     * Engines do not return, and no redundant engine is left in the data centre. Guards against a copy that stays
     * incomplete for the rest of the day while the other data centres serve its traffic. The engines beside the gap take
     * its layers step by step with memory reserved for requests, and never drop a layer that no other engine holds.
     */
    @Test
    public void extendsEnginesIntoAGapWithoutARedundantEngine() {
        List<BackendServer> placed = apply(emptyFleet(), plan(emptyFleet()));
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
