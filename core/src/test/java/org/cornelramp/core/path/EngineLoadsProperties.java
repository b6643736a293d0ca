package org.cornelramp.core.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.model.BackendServerId;

/** The load of an engine is the sum of the loads by this process and all live peers. */
class EngineLoadsProperties {
    private static final int ENGINES = 6;
    private static final long MAX_SILENCE_MILLIS = 500;

    private record PeerState(Map<BackendServerId, EngineLoads.Load> loads, long atMillis) {}

    private static BackendServerId engine(int number) {
        return new BackendServerId("e" + number);
    }

    private static StagePath path(Random random) {
        int cut = 1 + random.nextInt(EngineFixtures.LAYERS - 1);
        int first = random.nextInt(ENGINES);
        int second = (first + 1 + random.nextInt(ENGINES - 1)) % ENGINES;
        return new StagePath(
                List.of(
                        new Hop(EngineFixtures.engine("e" + first, "dc1", "l4", 0, cut), 0, cut),
                        new Hop(
                                EngineFixtures.engine("e" + second, "dc1", "l4", cut, EngineFixtures.LAYERS),
                                cut,
                                EngineFixtures.LAYERS)),
                1,
                1);
    }

    private static Map<BackendServerId, EngineLoads.Load> randomLoads(Random random) {
        Map<BackendServerId, EngineLoads.Load> newLoads = new HashMap<>();
        for (int i = 0; i < ENGINES; i++) {
            if (random.nextBoolean()) {
                newLoads.put(engine(i), new EngineLoads.Load(random.nextInt(9), 1, random.nextInt(5_000), 7));
            }
        }
        return newLoads;
    }

    /** Peers send updates, fall silent and return, while own requests start and end. */
    @Property(tries = 100, seed = "31")
    void theLoadIsTheSumOverAllProcesses(@ForAll long seed) {
        Random random = new Random(seed);
        EngineLoads loads = new EngineLoads();
        Map<String, PeerState> peerStates = new HashMap<>();
        List<StagePath> own = new ArrayList<>();
        for (long now = 0; now < 6_000; now += 20) {
            String peer = "p" + random.nextInt(5);
            Map<BackendServerId, EngineLoads.Load> newLoads = randomLoads(random);
            if (random.nextInt(3) > 0) {
                loads.updatePeer(peer, newLoads, 0, now);
                peerStates.put(peer, new PeerState(newLoads, now));
            } else {
                loads.keepPeer(peer, 0, now);
                peerStates.put(
                        peer,
                        new PeerState(
                                peerStates.containsKey(peer)
                                        ? peerStates.get(peer).loads()
                                        : Map.of(),
                                now));
            }
            if (own.size() < 8 && random.nextBoolean()) {
                own.add(path(random));
                loads.add(own.get(own.size() - 1), 100);
            } else if (!own.isEmpty()) {
                loads.remove(own.remove(random.nextInt(own.size())), 100);
            }
            if (random.nextInt(4) == 0) {
                long at = now;
                loads.removeSilentPeers(MAX_SILENCE_MILLIS, now);
                peerStates.values().removeIf(one -> at - one.atMillis() > MAX_SILENCE_MILLIS);
            }
            check(loads, peerStates, own);
        }
    }

    private static void check(EngineLoads loads, Map<String, PeerState> peerStates, List<StagePath> own) {
        for (int i = 0; i < ENGINES; i++) {
            BackendServerId id = engine(i);
            long requests =
                    own.stream().filter(path -> path.hop(id).isPresent()).count();
            long tokenLayers = own.stream()
                    .flatMap(path -> path.hop(id).stream())
                    .mapToLong(hop -> 100L * hop.layers())
                    .sum();
            for (PeerState one : peerStates.values()) {
                EngineLoads.Load load = one.loads().getOrDefault(id, new EngineLoads.Load(0, 0, 0, 0));
                requests += load.requests();
                tokenLayers += load.tokenLayers();
            }
            EngineLoads.Load load = loads.load(id);
            if (load.requests() != requests || load.tokenLayers() != tokenLayers) {
                throw new AssertionError(id + " " + load + " expected " + requests + " " + tokenLayers);
            }
        }
    }
}
