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
 * Finds the fastest path through the layers of a model over the engines that hold them.
 *
 * <p>Searches a shortest path over the states (layer, data centre): an engine that holds the next layer runs all layers
 * that it holds from there on. The cost of an engine is the expected time for one token. It grows with the load of the
 * engine, so that requests spread over the copies of the model. An engine without memory for the request is left out.
 * Stateless, safe for use by any thread.
 */
public final class PathFinder {
    /** A token that arrives during a step waits for half of that step on average and then takes a step of its own. */
    private static final double QUEUEING_FACTOR = 1.5;

    /**
     * Part of an engine's requests that run in one step. The requests are spread over the hops of their paths, so one
     * step runs only a part of them; the conservative estimate of one half keeps copies evenly loaded.
     */
    private static final double STEP_PART_OF_REQUESTS = 0.5;

    /** Network delay and processing for each hop within a data centre, in milliseconds; twice the delay of the links. */
    private static final double HOP_MILLIS = 0.2;

    /**
     * Cost of each engine of a path, in milliseconds of token time, for the risk that it dies during the stream, which
     * then pauses for the time of many tokens. Not part of the expected token time.
     */
    private static final double DEATH_RISK_MILLIS = 0.8;

    /** Cost of a hop to another data centre over an idle link, in milliseconds of token time. */
    private static final double CROSS_DATA_CENTRE_MILLIS = 20;

    /**
     * Share of the link between data centres that paths may plan to use. The link carries one transfer after another,
     * so above this utilisation the queueing delay outweighs any slow engine, and all streams that cross it stall.
     */
    private static final double MAX_LINK_SHARE = 0.5;

    /** Duration of an ordinary stream, in seconds, over which its tokens cross the link. */
    private static final double USUAL_STREAM_SECONDS = 4;

    private static final double BITS_PER_MEGABIT = 1e6;

    /**
     * Cost of a first engine in another data centre, in milliseconds of token time: events cross the link, but no
     * activations. Slightly above the round-trip time, so that of equal copies the one in the own data centre is used.
     */
    private static final double REMOTE_FIRST_ENGINE_MILLIS = 3;

    /**
     * Part of the time for an engine's prompts that wait for prefill which counts as token time. When a chain of engines
     * dies, thirty prompts may be read again at once. Without this term all of them queue at the next best chain for
     * 200 ms, although another chain could read half of them.
     */
    private static final double PENDING_PROMPT_PART = 0.05;

    /**
     * Cost of a first engine that always fails, in milliseconds of token time: two to three times a usual path. An
     * engine may break off requests while it reports good health. Without this cost it looks idle and attracts every
     * new stream, until the retries of all gateways are used up. The engine is not excluded, as it may be the only one
     * that holds its layers.
     */
    private static final double CONSTANT_FAILURE_MILLIS = 100;

    /** Share of an engine's memory that is planned; the rest is for requests just sent by peers and for long answers. */
    private static final double MAX_MEMORY_SHARE = 0.92;

    private PathFinder() {}

    /**
     * What a request needs of a path. Immutable, safe for use by any thread.
     *
     * @param clientDataCentre data centre of the process that forwards the events to the client
     * @param promptTokens tokens of the prompt
     * @param expectedTokens expected tokens of prompt and answer
     * @param allowedFirstEngines the engines that may be the first of the path; empty for any
     * @param excludedFirstEngines the engines that must not be the first of the path
     * @param reservedRequests requests of mean length for each copy of the model whose memory is left free
     */
    public record Demand(
            DataCentre clientDataCentre,
            int promptTokens,
            int expectedTokens,
            Set<BackendServerId> allowedFirstEngines,
            Set<BackendServerId> excludedFirstEngines,
            double reservedRequests) {
        public Demand {
            allowedFirstEngines = Set.copyOf(allowedFirstEngines);
            excludedFirstEngines = Set.copyOf(excludedFirstEngines);
        }

        /** A demand that excludes no first engine. */
        public Demand(
                DataCentre clientDataCentre,
                int promptTokens,
                int expectedTokens,
                Set<BackendServerId> allowedFirstEngines) {
            this(clientDataCentre, promptTokens, expectedTokens, allowedFirstEngines, Set.of(), 0);
        }

        /** A copy that excludes these first engines. */
        public Demand withExcludedFirstEngines(Set<BackendServerId> excluded) {
            return new Demand(
                    clientDataCentre, promptTokens, expectedTokens, allowedFirstEngines, excluded, reservedRequests);
        }

        /** A copy that leaves memory free for that many requests of mean length for each copy of the model. */
        public Demand withReservedRequests(double requests) {
            return new Demand(
                    clientDataCentre,
                    promptTokens,
                    expectedTokens,
                    allowedFirstEngines,
                    excludedFirstEngines,
                    requests);
        }

        boolean mayStartAt(BackendServer server) {
            boolean allowed = allowedFirstEngines.isEmpty() || allowedFirstEngines.contains(server.id());
            return allowed && !excludedFirstEngines.contains(server.id());
        }
    }

    private record PartialPath(
            double cost, PartialPath previous, BackendServer server, int from, int to, DataCentre dataCentre) {}

    /** Returns the fastest path over the given engines, all of which accept work; empty if no path has capacity. */
    public static Optional<StagePath> find(
            EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        return search(new PartialPath(0, null, null, 0, 0, demand.clientDataCentre()), spec, engines, loads, demand);
    }

    /** Returns the fastest path that starts with the given hop; empty if no path has capacity. */
    public static Optional<StagePath> findAfter(
            Hop first, EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        DataCentre dataCentre = first.server().dataCentre();
        PartialPath empty = new PartialPath(0, null, null, 0, 0, dataCentre);
        List<BackendServer> others = engines.stream()
                .filter(server -> !server.id().equals(first.server().id()))
                .toList();
        return search(
                new PartialPath(0, empty, first.server(), 0, first.to(), dataCentre), spec, others, loads, demand);
    }

    private static Optional<StagePath> search(
            PartialPath start, EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        List<List<Candidate>> candidates = candidatesByLayer(spec, engines, loads, demand);
        List<List<PartialPath>> best = new ArrayList<>();
        for (int layer = 0; layer <= spec.layers(); layer++) {
            best.add(new ArrayList<>());
        }
        best.get(start.to()).add(start);
        double crossDataCentreMillis = crossDataCentreMillis(spec, loads);
        for (int layer = start.to(); layer < spec.layers(); layer++) {
            for (Candidate engine : best.get(layer).isEmpty() ? List.<Candidate>of() : candidates.get(layer)) {
                extend(best, layer, engine, demand, crossDataCentreMillis);
            }
        }
        return best.get(spec.layers()).stream()
                .min(Comparator.comparingDouble(PartialPath::cost))
                .map(last -> toPath(last, spec, demand));
    }

    /** Returns the cost by which a path was chosen: its token time and the risk of its engines, in milliseconds. */
    public static double cost(StagePath path) {
        return path.tokenMillis() + DEATH_RISK_MILLIS * path.hops().size();
    }

    /** Returns the token time that each further request on all engines of a path adds there, by its cards. */
    public static double tokenMillisPerRequest(StagePath path, EngineSpec spec) {
        double stepFactor = 0;
        for (Hop hop : path.hops()) {
            double share = hop.layers() / (double) spec.layers();
            stepFactor += share
                    * spec.card(hop.server().card()).map(CardKind::stepFactor).orElse(1.0);
        }
        return QUEUEING_FACTOR * STEP_PART_OF_REQUESTS * spec.meanRequestStepMillis() * stepFactor;
    }

    /** Lists the engines that hold each layer, so that a search among hundreds looks at a few engines for each step. */
    private static List<List<Candidate>> candidatesByLayer(
            EngineSpec spec, List<BackendServer> engines, EngineLoads loads, Demand demand) {
        List<List<Candidate>> candidates = new ArrayList<>(spec.layers());
        for (int layer = 0; layer < spec.layers(); layer++) {
            candidates.add(new ArrayList<>());
        }
        for (BackendServer server : engines) {
            Optional<CardKind> card = spec.card(server.card());
            Optional<LayerRange> layers = server.layers();
            if (card.isPresent() && layers.isPresent()) {
                Candidate engine = new Candidate(server, layers.get(), card.get(), spec, loads, demand);
                candidates
                        .subList(
                                layers.get().from(),
                                Math.min(spec.layers(), layers.get().to()))
                        .forEach(atLayer -> atLayer.add(engine));
            }
        }
        return candidates;
    }

    /** Cost of a hop to another data centre under the present load of the link; infinite when the link is full. */
    private static double crossDataCentreMillis(EngineSpec spec, EngineLoads loads) {
        if (spec.interDataCentreMbps() <= 0) {
            return CROSS_DATA_CENTRE_MILLIS;
        }
        double tokensPerSecond = spec.meanRequestTokens() / USUAL_STREAM_SECONDS;
        double megabits = spec.activationBytes() * Byte.SIZE * tokensPerSecond / BITS_PER_MEGABIT;
        double share = (loads.crossings() + 1) * megabits / (spec.interDataCentreMbps() * MAX_LINK_SHARE);
        return share >= 1 ? Double.POSITIVE_INFINITY : CROSS_DATA_CENTRE_MILLIS / (1 - share);
    }

    private static void extend(
            List<List<PartialPath>> best, int layer, Candidate engine, Demand demand, double crossDataCentreMillis) {
        if (!engine.canRun(layer, demand)) {
            return;
        }
        int to = engine.end();
        double engineCost = engine.tokenMillis(to - layer) + HOP_MILLIS + DEATH_RISK_MILLIS;
        PartialPath cheapest = null;
        for (PartialPath previous : best.get(layer)) {
            boolean crosses = !previous.dataCentre().equals(engine.server().dataCentre());
            double crossing = layer == 0 ? REMOTE_FIRST_ENGINE_MILLIS : crossDataCentreMillis;
            double cost =
                    previous.cost() + engineCost + (crosses ? crossing : 0) + (layer == 0 ? engine.failureMillis() : 0);
            if (Double.isFinite(cost) && (cheapest == null || cost < cheapest.cost())) {
                cheapest = new PartialPath(
                        cost,
                        previous,
                        engine.server(),
                        layer,
                        to,
                        engine.server().dataCentre());
            }
        }
        if (cheapest != null) {
            keepCheapest(best.get(to), cheapest);
        }
    }

    /** Keeps one partial path for each data centre, as the hops that follow determine which of them is best. */
    private static void keepCheapest(List<PartialPath> paths, PartialPath candidate) {
        for (int i = 0; i < paths.size(); i++) {
            if (paths.get(i).dataCentre().equals(candidate.dataCentre())) {
                if (candidate.cost() < paths.get(i).cost()) {
                    paths.set(i, candidate);
                }
                return;
            }
        }
        paths.add(candidate);
    }

    private static StagePath toPath(PartialPath last, EngineSpec spec, Demand demand) {
        Deque<Hop> hops = new ArrayDeque<>();
        double readMillis = 0;
        for (PartialPath step = last; step.server() != null; step = step.previous()) {
            hops.addFirst(new Hop(step.server(), step.from(), step.to()));
            CardKind card = spec.card(step.server().card()).orElseThrow();
            double share = (step.to() - step.from()) / (double) spec.layers();
            readMillis += demand.promptTokens() / spec.prefillTokensPerMilli() * card.prefillFactor() * share;
        }
        return new StagePath(List.copyOf(hops), last.cost() - DEATH_RISK_MILLIS * hops.size(), readMillis);
    }

    /** One engine with its load. The derived figures are computed once, as a search reads them often. */
    private static final class Candidate {
        private final BackendServer server;
        private final int endLayer;
        private final boolean hasSlot;
        private final double freeTokenLayers;
        private final double layerMillis;
        private final double failureMillis;

        Candidate(
                BackendServer server,
                LayerRange layers,
                CardKind card,
                EngineSpec spec,
                EngineLoads loads,
                Demand demand) {
            EngineLoads.Load load = loads.load(server.id());
            int layerCount = layers.to() - layers.from();
            double freeMb = card.memoryMb() - layerCount * spec.layerMb();
            double reserved = demand.reservedRequests() * spec.meanRequestTokens() * layerCount;
            this.server = server;
            this.endLayer = layers.to();
            this.hasSlot = load.asFirstEngine() < server.slots();
            this.freeTokenLayers = MAX_MEMORY_SHARE * freeMb / spec.tokenMbPerLayer() - load.tokenLayers() - reserved;
            this.layerMillis = layerMillis(load, card, spec) * loads.slowdown(server.id());
            this.failureMillis = CONSTANT_FAILURE_MILLIS * loads.failureShare(server.id());
        }

        /** Time for one token and one layer under the present load. */
        private static double layerMillis(EngineLoads.Load load, CardKind card, EngineSpec spec) {
            double step =
                    spec.stepMillis() + (load.requests() + 1) * STEP_PART_OF_REQUESTS * spec.meanRequestStepMillis();
            double reading = load.pendingPromptTokens() / spec.prefillTokensPerMilli() * card.prefillFactor();
            return (QUEUEING_FACTOR * step * card.stepFactor() + PENDING_PROMPT_PART * reading) / spec.layers();
        }

        BackendServer server() {
            return server;
        }

        int end() {
            return endLayer;
        }

        /** Whether the engine can run a layer that it holds and all that it holds after it. */
        boolean canRun(int layer, Demand demand) {
            boolean starts = layer > 0 || (hasSlot && demand.mayStartAt(server));
            return starts && (double) demand.expectedTokens() * (endLayer - layer) <= freeTokenLayers;
        }

        /** Cost of the recent failures of the engine, for a path that starts at it. */
        double failureMillis() {
            return failureMillis;
        }

        double tokenMillis(int layers) {
            return layerMillis * layers;
        }
    }
}
