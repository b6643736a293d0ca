package org.cornelramp.core.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cornelramp.core.fleet.BackendServer;

/** For any fleet, a path runs each layer once and in order on engines that hold it, and is found if one exists. */
class PathFinderProperties {

    @Provide
    Arbitrary<List<BackendServer>> fleets() {
        Arbitrary<int[]> shape = Combinators.combine(
                        Arbitraries.integers().between(0, 79),
                        Arbitraries.integers().between(1, 30),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3))
                .as((from, size, dataCentre, card) ->
                        new int[] {from, Math.min(EngineFixtures.LAYERS, from + size), dataCentre, card});
        return shape.list().ofMinSize(1).ofMaxSize(25).map(PathFinderProperties::fleet);
    }

    private static List<BackendServer> fleet(List<int[]> shapes) {
        String[] cards = {"h100", "a100s", "l4", "t4"};
        List<BackendServer> fleet = new ArrayList<>();
        for (int[] shape : shapes) {
            String id = "e" + fleet.size();
            fleet.add(EngineFixtures.engine(id, "dc" + shape[2], cards[shape[3]], shape[0], shape[1]));
        }
        return fleet;
    }

    /** The negative number of tokens excludes memory as a limit. */
    @Property(tries = 400, seed = "7")
    void findsAPathIfAndOnlyIfEachLayerHasAHolder(@ForAll("fleets") List<BackendServer> fleet) {
        PathFinder.Demand demand =
                new PathFinder.Demand(EngineFixtures.demand("dc0").clientDataCentre(), 0, -1_000_000, Set.of());
        Optional<StagePath> path = PathFinder.find(EngineFixtures.spec(0), fleet, new EngineLoads(), demand);
        boolean covered = true;
        for (int layer = 0; layer < EngineFixtures.LAYERS; layer++) {
            int wanted = layer;
            covered &= fleet.stream().anyMatch(engine -> engine.holds(wanted));
        }
        if (path.isPresent() != covered) {
            throw new AssertionError("covered " + covered + " path " + path.map(StagePath::text));
        }
        path.ifPresent(PathFinderProperties::check);
    }

    private static void check(StagePath path) {
        int at = 0;
        List<String> seen = new ArrayList<>();
        for (Hop hop : path.hops()) {
            boolean holds = hop.server().holds(hop.from()) && hop.server().holds(hop.to() - 1);
            if (hop.from() != at || !holds || seen.contains(hop.server().id().value())) {
                throw new AssertionError(path.text());
            }
            seen.add(hop.server().id().value());
            at = hop.to();
        }
        if (at != EngineFixtures.LAYERS) {
            throw new AssertionError(path.text());
        }
    }
}
