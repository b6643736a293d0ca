package org.cornelramp.core.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.routing.EngineSpec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Choice of paths whose engines hold the beginning of a prompt; the loads are those of deployment K's engines. */
public class PrefixAffinityTest {
    private static final EngineSpec SPEC = EngineFixtures.spec(0);
    private static final int HOPS = 10;
    private static final int HOP_LAYERS = EngineFixtures.LAYERS / HOPS;
    private static final long SILENCE_MILLIS = 1_000;

    private EngineLoads loads;
    private PromptHolders holders;

    @BeforeMethod
    public void start() {
        loads = new EngineLoads();
        holders = new PromptHolders(1_000);
    }

    private static List<BackendServer> copy(String name, String card) {
        List<BackendServer> engines = new ArrayList<>();
        for (int hop = 0; hop < HOPS; hop++) {
            engines.add(EngineFixtures.engine(name + hop, "dc1", card, hop * HOP_LAYERS, (hop + 1) * HOP_LAYERS));
        }
        return engines;
    }

    private static List<BackendServer> copies(int count, String card) {
        List<BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.addAll(copy("c" + i + "-", card));
        }
        return engines;
    }

    private static StagePath pathOver(List<BackendServer> engines) {
        return PathFinder.find(SPEC, engines, new EngineLoads(), EngineFixtures.demand("dc1"))
                .orElseThrow();
    }

    private static PromptPrefix prefix(String id, int tokens) {
        return PromptPrefix.of(List.of(new PromptPrefix.Part(id, tokens)));
    }

    private static PathFinder.Demand demand(int prompt) {
        return new PathFinder.Demand(new DataCentre("dc1"), prompt, prompt + 172, Set.of());
    }

    private StagePath byLoad(List<BackendServer> engines, int prompt) {
        return PathFinder.find(SPEC, engines, loads, demand(prompt)).orElseThrow();
    }

    private PrefixAffinity.Choice choose(List<BackendServer> engines, PromptPrefix prefix, int prompt) {
        return PrefixAffinity.choose(
                byLoad(engines, prompt),
                new PrefixAffinity.Inputs(SPEC, engines, loads, demand(prompt), prefix, holders));
    }

    /** Expected time to the first event, computed apart from the code under test. */
    private double firstEventMillis(StagePath path, int unsharedTokens) {
        double millis = path.tokenMillis();
        for (Hop hop : path.hops()) {
            int tokens = unsharedTokens + loads.load(hop.server().id()).pendingPromptTokens();
            millis += tokens
                    / SPEC.prefillTokensPerMilli()
                    * SPEC.card(hop.server().card()).orElseThrow().prefillFactor()
                    * hop.layers()
                    / EngineFixtures.LAYERS
                    * loads.slowdown(hop.server().id());
        }
        return millis;
    }

    /** Cards, tokens shared (four fifths of the prompt), and bound of the time to the first event without sharing. */
    @DataProvider
    public Object[][] sharedBeginnings() {
        return new Object[][] {
            {"h100", 40, 1.0},
            {"h100", 400, 0.75},
            {"h100", 4_000, 0.5},
            {"l4", 400, 0.75},
            {"l4", 4_000, 0.5},
            {"a100s", 400, 0.75},
            {"a100s", 4_000, 0.5},
        };
    }

    /** Guards against a saving that is not used, and against one that counts where the holder is busy, full or lost. */
    @Test(dataProvider = "sharedBeginnings")
    public void holderIsUsedUnlessBusyFullOrLost(String card, int shared, double bound) {
        int prompt = shared * 5 / 4;
        List<BackendServer> engines = copies(3, card);
        StagePath holder = pathOver(engines.subList(0, HOPS));
        loads.add(holder, 944);
        holders.hold(prefix("a", shared), holder);
        StagePath plain = byLoad(engines, prompt);
        PrefixAffinity.Choice idle = choose(engines, prefix("a", shared), prompt);
        assertNotEquals(plain, holder);
        assertEquals(
                idle.path().first().id(), (bound < 1 ? holder : plain).first().id());
        assertEquals(idle.savedTokens(), bound < 1 ? shared : 0);
        assertEquals(idle.savedMillis(), idle.path().readMillis() * idle.savedTokens() / prompt, 1e-6);
        assertEquals(idle.firstEventMillis(), firstEventMillis(idle.path(), prompt - idle.savedTokens()), 1e-6);
        double ratio = idle.firstEventMillis() / firstEventMillis(plain, prompt);
        assertTrue(ratio <= bound, "ratio " + ratio);
        assertEquals(choose(engines, prefix("b", shared), prompt).path(), plain, "nothing is shared");

        loads.addPendingPromptTokens(holder, 4 * prompt);
        assertEquals(choose(engines, prefix("a", shared), prompt).path(), plain, "the holder is busy");
        loads.addPendingPromptTokens(holder, -4 * prompt);
        loads.add(holder, 1_000_000);
        assertEquals(choose(engines, prefix("a", shared), prompt).path(), plain, "the holder is full");
        loads.remove(holder, 1_000_000);
        List<BackendServer> left = new ArrayList<>(engines);
        left.set(3, EngineFixtures.engine("c0-3-restarted", "dc1", card, 3 * HOP_LAYERS, 4 * HOP_LAYERS));
        assertEquals(choose(left, prefix("a", shared), prompt).savedTokens(), 0, "an engine of the holder restarted");
        left.remove(3);
        assertEquals(choose(left, prefix("a", shared), prompt).path(), plain, "an engine of the holder is lost");
    }

    /** Guards against a choice that is expected to be slower, or that has no room, in any fleet, load and holders. */
    @Test
    public void choiceIsNeverWorseThanTheBound() {
        SplittableRandom random = new SplittableRandom(6);
        List<String> cards = List.of("h100", "a100s", "l4", "t4");
        int changed = 0;
        for (int run = 0; run < 500; run++) {
            start();
            List<BackendServer> engines = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                engines.addAll(copy("c" + i + "-", cards.get(random.nextInt(cards.size()))));
            }
            PromptPrefix prefix = PromptPrefix.of(List.of(
                    new PromptPrefix.Part("a", 40),
                    new PromptPrefix.Part("b", random.nextInt(800)),
                    new PromptPrefix.Part("c", random.nextInt(4_000))));
            for (int i = random.nextInt(40); i > 0; i--) {
                StagePath path = byLoad(engines, 944);
                StagePath used = random.nextBoolean() ? path : pathOver(copy("c" + random.nextInt(6) + "-", "l4"));
                loads.add(used, 500 + random.nextInt(4_000));
                loads.addPendingPromptTokens(used, random.nextInt(2) * random.nextInt(3_000));
                if (random.nextInt(4) == 0) {
                    holders.hold(prefix, used);
                }
            }
            loads.setSlowdown(engines.get(random.nextInt(engines.size())).id(), 1 + 5 * random.nextDouble(), 0);
            int prompt = prefix.tokens(3) + random.nextInt(500);
            StagePath plain = byLoad(engines, prompt);
            PrefixAffinity.Choice choice = choose(engines, prefix, prompt);
            int kept = prefix.tokens(holders.heldLevels(prefix, plain));
            double bound = PrefixAffinity.MAX_FIRST_EVENT_FACTOR * firstEventMillis(plain, prompt - kept);
            assertTrue(firstEventMillis(choice.path(), prompt - choice.savedTokens()) <= bound + 1e-6, "run " + run);
            loads.add(choice.path(), prompt + 172);
            for (Hop hop : choice.path().hops()) {
                double memory = SPEC.card(hop.server().card()).orElseThrow().memoryMb() - hop.layers() * SPEC.layerMb();
                double used = loads.load(hop.server().id()).tokenLayers() * SPEC.tokenMbPerLayer();
                assertTrue(used <= memory, "run " + run + " used " + used + " of " + memory);
            }
            changed += choice.path().equals(plain) ? 0 : 1;
        }
        assertTrue(changed >= 25, "paths changed " + changed);
    }

    /** Guards against a part that all requests share and that gathers them at its first holder. */
    @Test
    public void partOfAllRequestsDoesNotOverloadOneEngine() {
        for (int shared : new int[] {40, 400, 4_000}) {
            start();
            List<BackendServer> engines = copies(4, "h100");
            for (int i = 1; i <= 200; i++) {
                PrefixAffinity.Choice choice = choose(engines, prefix("a", shared), shared * 5 / 4);
                loads.add(choice.path(), 944);
                holders.hold(prefix("a", shared), choice.path());
                for (BackendServer engine : engines) {
                    int requests = loads.load(engine.id()).requests();
                    assertTrue(requests <= 1.25 * i / 4 + 5, engine.id() + " has " + requests + " of " + i);
                }
            }
        }
    }

    /** Guards against holders that outlive their request, their peer's report, or its silence, and against growth. */
    @Test
    public void holdersEndWithTheirRequestOrReport() {
        StagePath path = pathOver(copy("c0-", "h100"));
        PromptPrefix prefix = prefix("a", 400);
        PromptHolders.Hold hold = holders.hold(prefix, path);
        PromptHolders.Hold second = holders.hold(prefix, path);
        PrefixSketch sketch = holders.sketch(1_000);
        holders.release(hold);
        holders.release(hold);
        assertEquals(holders.heldLevels(prefix, path), 1);
        holders.release(second);
        assertEquals(holders.size(), 0);
        assertTrue(holders.sketch(2_000).isEmpty());
        holders.updatePeer("g2", sketch, SILENCE_MILLIS, 2_000);
        assertEquals(holders.heldLevels(prefix, path), 1);
        holders.updatePeer("g2", PrefixSketch.EMPTY, SILENCE_MILLIS, 2_100);
        assertEquals(holders.heldLevels(prefix, path), 0);
        holders.updatePeer("g2", sketch, SILENCE_MILLIS, 2_200);
        holders.removeSilentPeers(0, 3_200);
        assertEquals(holders.heldLevels(prefix, path), 1);
        holders.removeSilentPeers(0, 3_201);
        assertEquals(holders.size(), 0);
        for (int i = 0; i < 1_500; i++) {
            holders.hold(prefix("p" + i, 40), path);
        }
        assertEquals(holders.size(), 1_000);
    }

    /** Load: 300 gateways with 60 requests each. Guards against sketches that grow, and against beginnings not told. */
    @Test
    public void sketchesOfThreeHundredGatewaysAreBounded() {
        List<BackendServer> engines = copies(6, "h100");
        byte[] bytes = new byte[0];
        for (int gateway = 1; gateway < 300; gateway++) {
            PromptHolders peer = new PromptHolders(1_000);
            for (int i = 0; i < 60; i++) {
                peer.hold(
                        PromptPrefix.of(List.of(
                                new PromptPrefix.Part("all", 40), new PromptPrefix.Part(gateway + "-" + i, 400 + i))),
                        pathOver(engines.subList(i % 6 * HOPS, (i % 6 + 1) * HOPS)));
            }
            bytes = peer.sketch(1_000).encode();
            assertTrue(bytes.length <= PrefixSketch.MAX_BYTES, "bytes " + bytes.length);
            assertEquals(PrefixSketch.decode(bytes), peer.sketch(1_000));
            holders.updatePeer("g" + gateway, PrefixSketch.decode(bytes), SILENCE_MILLIS, 1_000);
        }
        assertTrue(holders.size() <= 1_000 && holders.size() >= 300, "beginnings " + holders.size());
        PromptPrefix best =
                PromptPrefix.of(List.of(new PromptPrefix.Part("all", 40), new PromptPrefix.Part("1-59", 459)));
        assertEquals(choose(engines, best, 520).savedTokens(), 499);
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < 20_000; run++) {
            byte[] damaged = Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length));
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            try {
                assertTrue(PrefixSketch.decode(damaged).holders().size() <= PrefixSketch.MAX_BYTES);
            } catch (IllegalArgumentException expected) {
                assertTrue(expected.getMessage().startsWith("A sketch"));
            }
        }
        assertThrows(IllegalArgumentException.class, () -> PrefixSketch.decode(new byte[0]));
    }
}
