package org.cornelramp.core.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.routing.EngineSpec;
import org.testng.annotations.Test;

/** Which engines a stream passes, by place, load, memory and slowness. */
public class PathFinderTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(9_000);

    private static List<BackendServer> copy(String dataCentre) {
        List<BackendServer> copy = new ArrayList<>();
        copy.add(EngineFixtures.engine(dataCentre + "-a", dataCentre, "h100", 0, 27));
        copy.add(EngineFixtures.engine(dataCentre + "-b", dataCentre, "h100", 27, 54));
        copy.add(EngineFixtures.engine(dataCentre + "-c", dataCentre, "h100", 54, 80));
        return copy;
    }

    private static List<BackendServer> slowCopy(String dataCentre) {
        List<BackendServer> copy = new ArrayList<>();
        for (int from = 0; from < EngineFixtures.LAYERS; from += 8) {
            copy.add(EngineFixtures.engine(dataCentre + "-" + from, dataCentre, "l4", from, from + 8));
        }
        return copy;
    }

    /**
     * Guards against paths over many small cards where fewer large ones take about as long: each engine of a path may die,
     * and on a day with ten deaths among sixty engines a fourteenth of the streams lost one.
     */
    @Test
    public void prefersFewerEnginesOfAboutTheSameSpeed() {
        List<BackendServer> engines = new ArrayList<>();
        for (int from = 0; from < EngineFixtures.LAYERS; from += 6) {
            engines.add(EngineFixtures.engine(
                    "small-" + from, "dc1", "t4", from, Math.min(from + 6, EngineFixtures.LAYERS)));
        }
        for (int from = 0; from < EngineFixtures.LAYERS; from += 9) {
            engines.add(EngineFixtures.engine(
                    "large-" + from, "dc1", "l4", from, Math.min(from + 9, EngineFixtures.LAYERS)));
        }
        StagePath path = PathFinder.find(SPEC, engines, new EngineLoads(), EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(path.hops().size(), 9);
    }

    private static Set<String> dataCentres(StagePath path) {
        return path.hops().stream()
                .map(hop -> hop.server().dataCentre().value())
                .collect(Collectors.toSet());
    }

    @Test
    public void staysInItsOwnDataCentreWhileThatHasACopy() {
        List<BackendServer> engines = new ArrayList<>(copy("dc1"));
        engines.addAll(copy("dc2"));
        StagePath path = PathFinder.find(SPEC, engines, new EngineLoads(), EngineFixtures.demand("dc2"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
        assertEquals(path.crossings(), 0);
    }

    /**
     * An engine of the own data centre dies, and no other there holds its layers. A stream that left its data centre
     * for these layers alone would cross the shared pipe twice with every token; it goes to the other copy whole.
     */
    @Test
    public void goesToAnotherCopyWholeRatherThanThereAndBack() {
        List<BackendServer> engines = new ArrayList<>(copy("dc1"));
        engines.remove(1);
        engines.addAll(copy("dc2"));
        StagePath path = PathFinder.find(SPEC, engines, new EngineLoads(), EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
        assertEquals(path.crossings(), 0);
    }

    /**
     * The first engine of a copy breaks off two requests in five, though its reports are good (share and variant of the
     * users' deployments). Its load stays low for that, so it looks best. Streams go to the other copy while that one
     * has room, and still to the faulty one where nobody else holds its layers.
     */
    @Test
    public void avoidsAFirstEngineThatFailsOftenUnlessItIsTheOnlyOne() {
        List<BackendServer> engines = new ArrayList<>(copy("dc1"));
        engines.addAll(copy("dc2"));
        EngineLoads loads = new EngineLoads();
        for (int i = 0; i < 20; i++) {
            loads.recordOutcome(new BackendServerId("dc1-a"), i % 5 < 2);
        }
        StagePath path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
        StagePath only = PathFinder.find(SPEC, copy("dc1"), loads, EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(only), Set.of("dc1"));
    }

    /**
     * Each of two data centres lacks layers that the other has, so every path crosses. The pipe of today carries the
     * activations of about 28 ordinary requests a second over one hop; what exceeds half of that is refused at once
     * instead of stalling all that cross.
     */
    @Test
    public void plansNoMoreCrossingsThanThePipeCarries() {
        List<BackendServer> engines = new ArrayList<>();
        engines.add(EngineFixtures.engine("left", "dc1", "h100", 0, 27));
        engines.add(EngineFixtures.engine("middle", "dc2", "h100", 27, 54));
        engines.add(EngineFixtures.engine("right", "dc2", "h100", 54, 80));
        EngineSpec roomy = EngineFixtures.spec(9_000);
        EngineLoads loads = new EngineLoads();
        int placed = 0;
        Optional<StagePath> path = PathFinder.find(roomy, engines, loads, EngineFixtures.demand("dc1"));
        while (path.isPresent() && placed < 1_000) {
            loads.add(path.get(), 1);
            placed++;
            path = PathFinder.find(
                    roomy,
                    engines,
                    loads,
                    new PathFinder.Demand(EngineFixtures.demand("dc1").home(), 772, 1, Set.of()));
        }
        double tokensPerSecond = placed * roomy.meanRequestTokens() / 4.0;
        double megabits = tokensPerSecond * roomy.activationBytes() * 8 / 1e6;
        assertTrue(placed > 20, "the pipe is used at all, placed " + placed);
        assertTrue(megabits <= 9_000 * 0.5, "planned " + megabits + " Mbit/s");
    }

    /**
     * After a death all gateways send their streams to the copies that are left. Each counts what its peers have under
     * way, so the streams spread over both copies instead of filling the faster one until it runs out of memory.
     */
    @Test
    public void spreadsOverCopiesByWhatPeersHaveUnderWay() {
        List<BackendServer> engines = new ArrayList<>(slowCopy("dc1"));
        engines.addAll(slowCopy("dc2"));
        EngineLoads loads = new EngineLoads();
        EngineLoads peer = new EngineLoads();
        for (int i = 0; i < 60; i++) {
            peer.add(
                    PathFinder.find(SPEC, slowCopy("dc1"), peer, EngineFixtures.demand("dc1"))
                            .orElseThrow(),
                    944);
        }
        loads.updatePeer("peer", peer.ownLoads(), 0, 0);
        StagePath path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
    }

    @Test
    public void leavesOutAnEngineWithoutMemory() {
        EngineLoads loads = new EngineLoads();
        List<BackendServer> engines = copy("dc1");
        int placed = 0;
        Optional<StagePath> path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"));
        while (path.isPresent()) {
            loads.add(path.get(), 944);
            placed++;
            path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"));
        }
        double freeMb = 72_000 - 27 * 1_750;
        double takenMb = placed * 944.0 * 27 * SPEC.tokenMbPerLayer();
        assertTrue(takenMb <= freeMb, "taken " + takenMb + " of " + freeMb);
        assertTrue(takenMb > freeMb * 0.85, "the memory is used, taken " + takenMb + " of " + freeMb);
    }

    @Test
    public void goesAroundASlowEngine() {
        List<BackendServer> engines = copy("dc1");
        engines.add(EngineFixtures.engine("twin", "dc1", "h100", 27, 54));
        EngineLoads loads = new EngineLoads();
        loads.setSlowdown(new BackendServerId("dc1-b"), 5, 0);
        StagePath path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertTrue(path.hop(new BackendServerId("twin")).isPresent(), path.text());
        loads.removeExpiredSlowdowns(60_000);
        assertEquals(loads.slowdown(new BackendServerId("dc1-b")), 1.0);
    }

    @Test
    public void startsOnlyAtAnEngineThatMayTakeTheRequest() {
        List<BackendServer> engines = copy("dc1");
        engines.addAll(copy("dc2"));
        PathFinder.Demand demand = new PathFinder.Demand(
                EngineFixtures.demand("dc1").home(), 10, 20, Set.of(new BackendServerId("dc2-a")));
        StagePath path =
                PathFinder.find(SPEC, engines, new EngineLoads(), demand).orElseThrow();
        assertEquals(path.first().id(), new BackendServerId("dc2-a"));
    }

    @Test
    public void keepsTheFirstHopOfARunningRequest() {
        List<BackendServer> engines = copy("dc1");
        engines.add(EngineFixtures.engine("twin", "dc1", "h100", 27, 54));
        Hop first = new Hop(engines.get(0), 0, 27);
        List<BackendServer> left = engines.stream()
                .filter(one -> !one.id().value().equals("dc1-b"))
                .toList();
        StagePath path = PathFinder.findAfter(first, SPEC, left, new EngineLoads(), EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(path.hops().get(0), first);
        assertTrue(path.hop(new BackendServerId("twin")).isPresent(), path.text());
    }

    /**
     * A chain of engines has died, and thirty streams start anew in the same moment. They spread over the two copies
     * that are left by the prompts which each has still to read, so that none waits for thirty prompts.
     */
    @Test
    public void spreadsPromptsThatAreReadAtOnce() {
        List<BackendServer> engines = new ArrayList<>(slowCopy("dc1"));
        engines.addAll(slowCopy("dc2"));
        EngineLoads loads = new EngineLoads();
        int away = 0;
        for (int i = 0; i < 30; i++) {
            StagePath path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"))
                    .orElseThrow();
            loads.add(path, 944);
            loads.addPendingPromptTokens(path, 772);
            away += dataCentres(path).contains("dc2") ? 1 : 0;
        }
        assertTrue(away >= 10 && away <= 15, "sent to the other copy: " + away);
    }
}
