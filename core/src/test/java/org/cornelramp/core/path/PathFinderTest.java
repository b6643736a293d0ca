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

/** Choice of the engines of a stream by data centre, load, memory and slowdown. */
public class PathFinderTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(9_000);

    private static List<BackendServer> fastCopy(String dataCentre) {
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
     * Guards against paths over many small cards where fewer large ones take about as long. Each engine of a path may
     * die: with ten deaths among sixty engines, one in fourteen streams lost an engine.
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
        List<BackendServer> engines = new ArrayList<>(fastCopy("dc1"));
        engines.addAll(fastCopy("dc2"));
        StagePath path = PathFinder.find(SPEC, engines, new EngineLoads(), EngineFixtures.demand("dc2"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
        assertEquals(path.crossings(), 0);
    }

    /**
     * An engine dies in the data centre of the client, and no other engine there holds its layers. Guards against a path
     * that leaves the data centre for these layers alone and crosses the shared link twice with every token; the stream
     * uses the other copy for all layers.
     */
    @Test
    public void usesAnotherCopyForAllLayers() {
        List<BackendServer> engines = new ArrayList<>(fastCopy("dc1"));
        engines.remove(1);
        engines.addAll(fastCopy("dc2"));
        StagePath path = PathFinder.find(SPEC, engines, new EngineLoads(), EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
        assertEquals(path.crossings(), 0);
    }

    /**
     * The first engine of a copy breaks off two requests in five although it reports good health, a share and a fault
     * that occur in deployments. Its load stays low because of the failures, so it looks best. Streams use the other copy
     * while that has capacity, and still the faulty engine if no other engine holds its layers.
     */
    @Test
    public void avoidsAFirstEngineThatFailsOftenUnlessItIsTheOnlyOne() {
        List<BackendServer> engines = new ArrayList<>(fastCopy("dc1"));
        engines.addAll(fastCopy("dc2"));
        EngineLoads loads = new EngineLoads();
        for (int i = 0; i < 20; i++) {
            loads.recordOutcome(new BackendServerId("dc1-a"), i % 5 < 2);
        }
        StagePath path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(path), Set.of("dc2"));
        StagePath only = PathFinder.find(SPEC, fastCopy("dc1"), loads, EngineFixtures.demand("dc1"))
                .orElseThrow();
        assertEquals(dataCentres(only), Set.of("dc1"));
    }

    /**
     * Each of two data centres lacks layers that the other one has, so every path crosses the link between them. The
     * link carries the activations of about 28 ordinary requests a second over one hop. Requests that exceed half of
     * that are refused at once, as they would stall all streams that cross the link.
     */
    @Test
    public void plansNoMoreCrossingsThanTheLinkCarries() {
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
                    new PathFinder.Demand(EngineFixtures.demand("dc1").clientDataCentre(), 772, 1, Set.of()));
        }
        double tokensPerSecond = placed * roomy.meanRequestTokens() / 4.0;
        double megabits = tokensPerSecond * roomy.activationBytes() * 8 / 1e6;
        assertTrue(placed > 20, "the link is used at all, placed " + placed);
        assertTrue(megabits <= 9_000 * 0.5, "planned " + megabits + " Mbit/s");
    }

    /**
     * After the death of an engine all gateways send their streams to the remaining copies. Each gateway counts the loads
     * of its peers. Guards against streams that fill the faster copy until it runs out of memory instead of spreading
     * over both.
     */
    @Test
    public void spreadsOverCopiesByTheLoadsOfPeers() {
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
        List<BackendServer> engines = fastCopy("dc1");
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
    public void avoidsASlowEngine() {
        List<BackendServer> engines = fastCopy("dc1");
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
        List<BackendServer> engines = fastCopy("dc1");
        engines.addAll(fastCopy("dc2"));
        PathFinder.Demand demand = new PathFinder.Demand(
                EngineFixtures.demand("dc1").clientDataCentre(), 10, 20, Set.of(new BackendServerId("dc2-a")));
        StagePath path =
                PathFinder.find(SPEC, engines, new EngineLoads(), demand).orElseThrow();
        assertEquals(path.first().id(), new BackendServerId("dc2-a"));
    }

    @Test
    public void keepsTheFirstHopOfARunningRequest() {
        List<BackendServer> engines = fastCopy("dc1");
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
     * A chain of engines has died, and thirty streams restart at the same time. They spread over the two remaining copies
     * by the prompts that each still has to read. Guards against a stream that waits for thirty prompts.
     */
    @Test
    public void spreadsPromptsThatAreReadAtOnce() {
        List<BackendServer> engines = new ArrayList<>(slowCopy("dc1"));
        engines.addAll(slowCopy("dc2"));
        EngineLoads loads = new EngineLoads();
        int onOtherCopy = 0;
        for (int i = 0; i < 30; i++) {
            StagePath path = PathFinder.find(SPEC, engines, loads, EngineFixtures.demand("dc1"))
                    .orElseThrow();
            loads.add(path, 944);
            loads.addPendingPromptTokens(path, 772);
            onOtherCopy += dataCentres(path).contains("dc2") ? 1 : 0;
        }
        assertTrue(onOtherCopy >= 10 && onOtherCopy <= 15, "sent to the other copy: " + onOtherCopy);
    }
}
