package org.cornelramp.core.path;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.routing.CardKind;
import org.cornelramp.core.routing.EngineSpec;

/**
 * Finds the fastest way through the model over the engines that hold its layers.
 *
 * <p>A shortest path over (layer, data centre): each engine that holds the next layer runs all that it holds from
 * there on. Its cost is the expected time of a token, which grows with what runs there, so that requests spread over
 * copies; an engine without memory for the request is left out. Stateless, safe for use by any thread.
 */
public final class PathFinder {
    /** A token that comes while a step is under way waits for half of it on average, then takes its own. */
    private static final double WAITING_FACTOR = 1.5;

    /** Network and handling for each hop within a data centre, in milliseconds; twice the links' delay. */
    private static final double HOP_MILLIS = 0.2;

    /**
     * Cost of each engine on a path, in milliseconds of token time: it may die under the stream, which then pauses for as
     * long as many tokens take. No part of the time that a token is expected to take.
     */
    private static final double RISK_MILLIS = 0.8;

    /** Cost of a hop to another data centre over an idle pipe, in milliseconds of token time. */
    private static final double CROSS_MILLIS = 20;

    /**
     * Share of the pipe between data centres that paths may plan to use. The pipe carries one transfer after another,
     * so beyond this the waiting grows faster than any engine is slow, and every stream that crosses stalls.
     */
    private static final double PIPE_SHARE = 0.5;

    /** Time that an ordinary stream is under way, in seconds, over which its tokens cross. */
    private static final double STREAM_SECONDS = 4;

    private static final double BITS_PER_MEGABIT = 1e6;

    /**
     * Cost of a first engine in another data centre: its events cross, but no activations do. A little more than the
     * way there and back, so that equal copies keep their own clients.
     */
    private static final double ENTRY_MILLIS = 3;

    /**
     * Part of the time that an engine needs for prompts still to be read which counts as time of a token. When a chain
     * of engines dies, thirty prompts are read anew at once; without this all of them queue at the next best chain for
     * 200 ms, while another could read half of them.
     */
    private static final double READING_PART = 0.05;

    /**
     * Cost of a first engine that always fails, in milliseconds of token time: two to three usual paths. An engine may
     * break requests off while its reports are good; without this it looks idle and draws every new stream, until the
     * repeats of all gateways are used up. It is a cost and no ban, as nobody else may hold its layers.
     */
    private static final double FAILURE_MILLIS = 100;

    /** Share of an engine's memory that is filled; the rest is for what peers have just sent and for long answers. */
    private static final double MEMORY_SHARE = 0.92;

    private PathFinder() {}

    /**
     * What a path is for. Immutable, safe for use by any thread.
     *
     * @param home data centre of the process that passes the events on
     * @param prompt tokens to read
     * @param tokens tokens that the request is expected to take in the end
     * @param firsts the engines that may take the request; empty for any
     */
    public record Demand(DataCentre home, int prompt, int tokens, Set<BackendServerId> firsts) {
        public Demand {
            firsts = Set.copyOf(firsts);
        }

        boolean mayStartAt(BackendServer server) {
            return firsts.isEmpty() || firsts.contains(server.id());
        }
    }

    private record Step(double cost, Step before, BackendServer server, int from, int to, DataCentre at) {}

    /** The fastest path over the given engines, each of which may take work; empty if no path has room. */
    public static Optional<StagePath> find(
            EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        return search(new Step(0, null, null, 0, 0, demand.home()), spec, engines, loads, demand);
    }

    /** The fastest path that starts with the given hop; empty if no path has room. */
    public static Optional<StagePath> findAfter(
            Hop first, EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        DataCentre at = first.server().dataCentre();
        Step nothing = new Step(0, null, null, 0, 0, at);
        List<BackendServer> others = engines.stream()
                .filter(server -> !server.id().equals(first.server().id()))
                .toList();
        return search(new Step(0, nothing, first.server(), 0, first.to(), at), spec, others, loads, demand);
    }

    private static Optional<StagePath> search(
            Step start, EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        List<List<Engine>> holders = holders(spec, engines, loads);
        List<List<Step>> best = new ArrayList<>();
        for (int layer = 0; layer <= spec.layers(); layer++) {
            best.add(new ArrayList<>());
        }
        best.get(start.to()).add(start);
        double crossMillis = crossMillis(spec, loads);
        for (int layer = start.to(); layer < spec.layers(); layer++) {
            for (Engine engine : best.get(layer).isEmpty() ? List.<Engine>of() : holders.get(layer)) {
                extend(best, layer, engine, demand, crossMillis);
            }
        }
        return best.get(spec.layers()).stream()
                .min(Comparator.comparingDouble(Step::cost))
                .map(last -> path(last, spec, demand));
    }

    /** For each layer the engines that hold it, so that a search among hundreds looks at a few for each step. */
    private static List<List<Engine>> holders(EngineSpec spec, List<BackendServer> engines, EngineLoads loads) {
        List<List<Engine>> holders = new ArrayList<>(spec.layers());
        for (int layer = 0; layer < spec.layers(); layer++) {
            holders.add(new ArrayList<>());
        }
        for (BackendServer server : engines) {
            Optional<CardKind> card = spec.card(server.card());
            Optional<LayerRange> layers = server.layers();
            if (card.isPresent() && layers.isPresent()) {
                Engine engine = new Engine(server, layers.get(), card.get(), spec, loads);
                holders.subList(
                                layers.get().from(),
                                Math.min(spec.layers(), layers.get().to()))
                        .forEach(here -> here.add(engine));
            }
        }
        return holders;
    }

    /** Cost of a hop to another data centre with all that crosses already; infinite when the pipe is full. */
    private static double crossMillis(EngineSpec spec, EngineLoads loads) {
        if (spec.interDataCentreMbps() <= 0) {
            return CROSS_MILLIS;
        }
        double tokensPerSecond = spec.meanRequestTokens() / STREAM_SECONDS;
        double megabits = spec.activationBytes() * Byte.SIZE * tokensPerSecond / BITS_PER_MEGABIT;
        double share = (loads.crossings() + 1) * megabits / (spec.interDataCentreMbps() * PIPE_SHARE);
        return share >= 1 ? Double.POSITIVE_INFINITY : CROSS_MILLIS / (1 - share);
    }

    private static void extend(List<List<Step>> best, int layer, Engine engine, Demand demand, double crossMillis) {
        if (!engine.canRun(layer, demand)) {
            return;
        }
        int to = engine.end();
        double own = engine.tokenMillis(to - layer) + HOP_MILLIS + RISK_MILLIS;
        Step found = null;
        for (Step before : best.get(layer)) {
            boolean crosses = !before.at().equals(engine.server().dataCentre());
            double crossing = layer == 0 ? ENTRY_MILLIS : crossMillis;
            double cost = before.cost() + own + (crosses ? crossing : 0) + (layer == 0 ? engine.failureMillis() : 0);
            if (Double.isFinite(cost) && (found == null || cost < found.cost())) {
                found = new Step(
                        cost,
                        before,
                        engine.server(),
                        layer,
                        to,
                        engine.server().dataCentre());
            }
        }
        if (found != null) {
            keepCheapest(best.get(to), found);
        }
    }

    /** Keeps one step for each data centre: which of them is best depends on the hops that follow. */
    private static void keepCheapest(List<Step> steps, Step found) {
        for (int i = 0; i < steps.size(); i++) {
            if (steps.get(i).at().equals(found.at())) {
                if (found.cost() < steps.get(i).cost()) {
                    steps.set(i, found);
                }
                return;
            }
        }
        steps.add(found);
    }

    private static StagePath path(Step last, EngineSpec spec, Demand demand) {
        Deque<Hop> hops = new ArrayDeque<>();
        double readMillis = 0;
        for (Step step = last; step.server() != null; step = step.before()) {
            hops.addFirst(new Hop(step.server(), step.from(), step.to()));
            CardKind card = spec.card(step.server().card()).orElseThrow();
            double share = (step.to() - step.from()) / (double) spec.layers();
            readMillis += demand.prompt() / spec.prefillTokensPerMilli() * card.prefillFactor() * share;
        }
        return new StagePath(List.copyOf(hops), last.cost() - RISK_MILLIS * hops.size(), readMillis);
    }

    /** One engine with what it has under way; its figures are worked out once, since a search asks for them often. */
    private static final class Engine {
        private final BackendServer server;
        private final int to;
        private final boolean hasSlot;
        private final double freeTokenLayers;
        private final double layerMillis;
        private final double failureMillis;

        Engine(BackendServer server, LayerRange layers, CardKind card, EngineSpec spec, EngineLoads loads) {
            EngineLoads.Load load = loads.load(server.id());
            double freeMb = card.memoryMb() - (layers.to() - layers.from()) * spec.layerMb();
            this.server = server;
            this.to = layers.to();
            this.hasSlot = load.asFirstEngine() < server.slots();
            this.freeTokenLayers = MEMORY_SHARE * freeMb / spec.tokenMbPerLayer() - load.tokenLayers();
            this.layerMillis = layerMillis(load, card, spec) * loads.slowdown(server.id());
            this.failureMillis = FAILURE_MILLIS * loads.failureShare(server.id());
        }

        /**
         * Time of a token for one layer with all that runs here. Requests are spread over the hops of their paths, so a
         * step has only a part of them; half is a cautious guess that keeps copies evenly loaded.
         */
        private static double layerMillis(EngineLoads.Load load, CardKind card, EngineSpec spec) {
            double step = spec.stepMillis() + (load.requests() + 1) / 2.0 * spec.meanRequestStepMillis();
            double reading = load.pendingPromptTokens() / spec.prefillTokensPerMilli() * card.prefillFactor();
            return (WAITING_FACTOR * step * card.stepFactor() + READING_PART * reading) / spec.layers();
        }

        BackendServer server() {
            return server;
        }

        int end() {
            return to;
        }

        /** Whether it can run a layer that it holds and those that follow. */
        boolean canRun(int layer, Demand demand) {
            boolean starts = layer > 0 || (hasSlot && demand.mayStartAt(server));
            return starts && (double) demand.tokens() * (to - layer) <= freeTokenLayers;
        }

        /** What its failures cost a request that is sent to it. */
        double failureMillis() {
            return failureMillis;
        }

        double tokenMillis(int layers) {
            return layerMillis * layers;
        }
    }
}
