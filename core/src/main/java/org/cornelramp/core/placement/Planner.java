package org.cornelramp.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.routing.CardKind;
import org.cornelramp.core.routing.EngineSpec;

/**
 * Places the layers of a model on engines with different cards.
 *
 * <p>Each data centre gets a whole copy first, since activations between data centres share one pipe; engines that
 * are left hold second copies, so that a death is mended by a new path instead of a load. Engines that hold layers
 * keep them: only empty ones are filled, and an engine is moved only if all it holds has another holder in its data
 * centre while some layer there has none. The result depends on the input alone, so any process that knows the same
 * comes to the same plan. Stateless, safe for use by any thread.
 */
public final class Planner {
    /**
     * Part of the requests that one engine takes at once for which memory is kept beside the weights, at most. An engine is
     * hardly ever filled beyond it, and what is kept for more makes paths longer: every engine more on a path is one more
     * whose death stops its streams, and one more hop for each token.
     */
    private static final double MOST_REQUESTS_PART = 0.9;

    /** Fewest requests that shall fit beside the weights, however few cards there are. */
    private static final int FEWEST_REQUESTS = 24;

    private static final int REQUESTS_STEP = 6;

    /**
     * Copies of the model that a data centre's cards shall hold: one, and a little for the engines that die. More
     * copies leave less memory for requests, and a data centre whose neighbour fails needs that first.
     */
    private static final double WANTED_COPIES = 1.12;

    /** What a layer is worth that no engine anywhere holds, none in the data centre, one, or more; the last is shared. */
    private static final double NOWHERE = 1e6;

    private static final double NOT_HERE = 1e3;
    private static final double ONCE_HERE = 10;
    private static final double MORE_HERE = 1;

    private Planner() {}

    /**
     * The layers to order now.
     *
     * @param spec the model
     * @param engines the engines that take work and can be reached, with the layers that they hold or are loading
     * @param fixed engines that get no order, since they are still carrying one out
     * @param newcomers empty engines that are kept for layers that nobody in their data centre holds
     */
    public static List<Placement> plan(
            EngineSpec spec, List<BackendServer> engines, Set<BackendServerId> fixed, Set<BackendServerId> newcomers) {
        return new Plan(spec, engines, fixed, newcomers).run();
    }

    /** For each data centre with engines, how many layers have no holder there, and how many just one. */
    public static String coverage(EngineSpec spec, List<BackendServer> engines) {
        Plan plan = new Plan(spec, engines, Set.of(), Set.of());
        StringBuilder text = new StringBuilder();
        plan.held.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(entry -> {
            long none = Arrays.stream(entry.getValue())
                    .filter(holders -> holders == 0)
                    .count();
            long once = Arrays.stream(entry.getValue())
                    .filter(holders -> holders == 1)
                    .count();
            text.append(entry.getKey())
                    .append(" none ")
                    .append(none)
                    .append(" once ")
                    .append(once)
                    .append("; ");
        });
        return text.toString();
    }

    /** One planning run. */
    private static final class Plan {
        private final EngineSpec spec;
        private final Map<DataCentre, List<BackendServer>> byDataCentre = new HashMap<>();
        private final Map<DataCentre, int[]> held = new HashMap<>();
        private final Set<BackendServerId> fixed;
        private final Set<BackendServerId> newcomers;
        private final int requests;

        Plan(EngineSpec spec, List<BackendServer> engines, Set<BackendServerId> fixed, Set<BackendServerId> newcomers) {
            this.spec = spec;
            this.fixed = fixed;
            this.newcomers = newcomers;
            for (BackendServer engine : engines) {
                if (spec.card(engine.card()).isPresent()) {
                    byDataCentre
                            .computeIfAbsent(engine.dataCentre(), at -> new ArrayList<>())
                            .add(engine);
                }
            }
            byDataCentre.forEach((at, here) -> {
                here.sort(Comparator.comparingDouble(
                                (BackendServer engine) -> card(engine).stepFactor())
                        .thenComparing(engine -> -card(engine).memoryMb())
                        .thenComparing(BackendServer::id));
                held.put(at, new int[spec.layers()]);
                here.forEach(engine -> engine.layers().ifPresent(range -> count(at, range, 1)));
            });
            this.requests = requestsThatFit();
        }

        List<Placement> run() {
            List<Placement> orders = new ArrayList<>();
            byDataCentre.keySet().stream().sorted().forEach(at -> {
                int before = orders.size();
                fillEmpty(at, orders);
                if (orders.size() == before) {
                    moveOne(at).or(() -> growOne(at)).ifPresent(orders::add);
                }
            });
            return orders;
        }

        private void fillEmpty(DataCentre at, List<Placement> orders) {
            for (BackendServer engine : byDataCentre.get(at)) {
                int most = capacity(engine, requests);
                boolean waits = newcomers.contains(engine.id()) && !hasHole(at);
                if (engine.layers().isEmpty() && most > 0 && !waits && !fixed.contains(engine.id())) {
                    LayerRange range = neediest(at, most);
                    count(at, range, 1);
                    orders.add(new Placement(engine, range));
                }
            }
        }

        /**
         * Moves one engine whose layers all have another holder here to layers that have none: the one that fills
         * them with the least of its memory, and of equals the slowest, so that no fast engine leaves a path.
         */
        private Optional<Placement> moveOne(DataCentre at) {
            int[] here = held.get(at);
            if (!hasHole(at)) {
                return Optional.empty();
            }
            Placement best = null;
            double bestShare = 0;
            for (BackendServer engine : byDataCentre.get(at)) {
                LayerRange old = engine.layers().orElse(null);
                int most = capacity(engine, requests);
                if (old == null || most == 0 || fixed.contains(engine.id()) || !isSpare(here, old)) {
                    continue;
                }
                count(at, old, -1);
                LayerRange range = neediest(at, most);
                double share = holes(here, range) / (double) most;
                count(at, old, 1);
                if (share > 0 && share >= bestShare) {
                    bestShare = share;
                    best = new Placement(engine, range);
                }
            }
            return Optional.ofNullable(best);
        }

        /**
         * Lets one engine beside a hole take layers of it, or where its card is full, pass on layers at its other end
         * that another engine holds as well; else lets the engine behind take over such layers. After engines have
         * left for good, the rest close the gap step by step with the memory that they kept for requests, and whatever
         * they hold goes on serving.
         */
        private Optional<Placement> growOne(DataCentre at) {
            int[] here = held.get(at);
            int from = 0;
            while (from < here.length && here[from] > 0) {
                from++;
            }
            if (from == here.length) {
                return Optional.empty();
            }
            int to = from;
            while (to < here.length && here[to] == 0) {
                to++;
            }
            int low = from;
            int high = to;
            return best(at, engine -> stretched(engine, here, low, high))
                    .or(() -> best(at, engine -> relieving(engine, at, low, high)));
        }

        /** The order that adds most layers; of equals the one to the fastest engine, which stands first. */
        private Optional<Placement> best(DataCentre at, Function<BackendServer, Optional<LayerRange>> wanted) {
            return byDataCentre.get(at).stream()
                    .filter(engine -> engine.layers().isPresent() && !fixed.contains(engine.id()))
                    .flatMap(engine -> wanted.apply(engine).map(range -> new Placement(engine, range)).stream())
                    .max(Comparator.comparingInt(Plan::added));
        }

        private static int added(Placement placement) {
            LayerRange old = placement.server().layers().orElseThrow();
            return Math.max(0, old.from() - placement.layers().from())
                    + Math.max(0, placement.layers().to() - old.to());
        }

        /** The range with which an engine that ends at the hole reaches furthest into it. */
        private Optional<LayerRange> stretched(BackendServer engine, int[] here, int from, int to) {
            LayerRange old = engine.layers().orElseThrow();
            int most = capacity(engine, FEWEST_REQUESTS);
            if (old.to() == from) {
                int start = old.from();
                while (start < old.to() - 1 && here[start] > 1) {
                    start++;
                }
                int end = Math.min(to, start + most);
                return end > from ? Optional.of(range(Math.max(old.from(), end - most), end)) : Optional.empty();
            }
            if (old.from() == to) {
                int end = old.to();
                while (end > old.from() + 1 && here[end - 1] > 1) {
                    end--;
                }
                int start = Math.max(from, end - most);
                return start < to ? Optional.of(range(start, Math.min(old.to(), start + most))) : Optional.empty();
            }
            return Optional.empty();
        }

        /** The range with which an engine takes over layers of a neighbour that ends at the hole. */
        private Optional<LayerRange> relieving(BackendServer engine, DataCentre at, int from, int to) {
            LayerRange old = engine.layers().orElseThrow();
            int spare = capacity(engine, FEWEST_REQUESTS) - (old.to() - old.from());
            for (BackendServer other : byDataCentre.get(at)) {
                LayerRange range = other.layers().orElse(null);
                if (range == null || other.equals(engine) || spare <= 0) {
                    continue;
                }
                if (range.to() == from && range.from() <= old.to() && old.to() < range.to()) {
                    return Optional.of(range(old.from(), Math.min(range.to() - 1, old.to() + spare)));
                }
                if (range.from() == to && range.to() >= old.from() && old.from() > range.from()) {
                    return Optional.of(range(Math.max(range.from() + 1, old.from() - spare), old.to()));
                }
            }
            return Optional.empty();
        }

        private LayerRange range(int from, int to) {
            return new LayerRange(from, to, spec.layers());
        }

        private boolean hasHole(DataCentre at) {
            return Arrays.stream(held.get(at)).anyMatch(holders -> holders == 0);
        }

        private static boolean isSpare(int[] here, LayerRange range) {
            return holes(here, range, 1) == 0;
        }

        private static int holes(int[] here, LayerRange range) {
            return holes(here, range, 0);
        }

        /** Layers of the range that have at most so many holders. */
        private static int holes(int[] here, LayerRange range, int most) {
            int holes = 0;
            for (int layer = range.from(); layer < range.to(); layer++) {
                holes += here[layer] <= most ? 1 : 0;
            }
            return holes;
        }

        /** The range of that many layers that is worth most; the first of equals, so that ranges join. */
        private LayerRange neediest(DataCentre at, int layers) {
            int size = Math.min(layers, spec.layers());
            double bestWorth = -1;
            int bestFrom = 0;
            for (int from = 0; from + size <= spec.layers(); from++) {
                double worth = 0;
                for (int layer = from; layer < from + size; layer++) {
                    worth += worth(at, layer);
                }
                if (worth > bestWorth) {
                    bestWorth = worth;
                    bestFrom = from;
                }
            }
            return range(bestFrom, bestFrom + size);
        }

        private double worth(DataCentre at, int layer) {
            int here = held.get(at)[layer];
            if (here > 0) {
                return here == 1 ? ONCE_HERE : MORE_HERE / here;
            }
            boolean nowhere = held.values().stream().allMatch(counts -> counts[layer] == 0);
            return nowhere ? NOWHERE : NOT_HERE;
        }

        private void count(DataCentre at, LayerRange range, int by) {
            int[] counts = held.get(at);
            for (int layer = range.from(); layer < range.to(); layer++) {
                counts[layer] += by;
            }
        }

        /** Most requests, up to a bound, beside which each data centre's cards still hold enough copies. */
        private int requestsThatFit() {
            for (int most = (int) (MOST_REQUESTS_PART * spec.slots()); most > FEWEST_REQUESTS; most -= REQUESTS_STEP) {
                int fit = most;
                boolean enough = byDataCentre.values().stream()
                        .allMatch(here -> here.stream()
                                        .mapToInt(engine -> capacity(engine, fit))
                                        .sum()
                                >= WANTED_COPIES * spec.layers());
                if (enough) {
                    return most;
                }
            }
            return FEWEST_REQUESTS;
        }

        /** Layers that fit on the engine's card beside the memory of so many ordinary requests. */
        private int capacity(BackendServer engine, int requests) {
            double requestsMb = requests * spec.meanRequestTokens() * spec.tokenMbPerLayer();
            return (int) Math.min(spec.layers(), card(engine).memoryMb() / (spec.layerMb() + requestsMb));
        }

        private CardKind card(BackendServer engine) {
            return spec.card(engine.card()).orElseThrow();
        }
    }
}
