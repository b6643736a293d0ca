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
import java.util.function.Predicate;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.routing.CardKind;
import org.cornelramp.core.routing.EngineSpec;

/**
 * Places the layers of a model on engines with different cards.
 *
 * <p>Each data centre first gets a whole copy of the model, since activations between data centres share one link. The
 * remaining engines hold second copies, so that after the death of an engine streams change their path and need not
 * wait for layers to be loaded. Engines that hold layers keep them: orders go to empty engines, and an engine is moved
 * only if another engine in its data centre holds each of its layers while some layer there has no holder; if there is
 * none, an engine beside such a layer extends its range.
 *
 * <p>{@link PlacementPreferences} refine this after these rules: a data centre with more demand aims at more copies, and
 * where nothing else is to be ordered, an engine without which each of its layers still has a sound holder is moved to
 * layers that only slow engines hold. The result depends only on the input, so all processes with
 * the same input compute the same plan. Stateless, safe for use by any thread.
 */
public final class Planner {
    /**
     * Largest part of an engine's slots for which memory is reserved beside the weights. An engine hardly ever runs more
     * requests, and reserving memory for them makes paths longer: each additional engine of a path may die and stop its
     * streams, and adds a hop for each token.
     */
    private static final double MAX_REQUESTS_PART = 0.9;

    /** Smallest number of requests for which memory is reserved beside the weights, however few cards there are. */
    private static final int MIN_REQUESTS = 24;

    private static final int REQUESTS_STEP = 6;

    /**
     * Copies of the model that the cards of a data centre are to hold: one and a small reserve for engines that die.
     * More copies leave less memory for requests, which a data centre needs more when another data centre fails.
     */
    private static final double TARGET_COPIES = 1.12;

    /** Value of loading a layer that no engine holds. */
    private static final double VALUE_HELD_NOWHERE = 1e6;

    /** Value of loading a layer that no engine of the data centre holds. */
    private static final double VALUE_NOT_HELD_HERE = 1e3;

    /** Value of loading a layer that only slow engines of the data centre hold. */
    private static final double VALUE_HELD_BY_SLOW_HERE = 100;

    /** A slow engine counts as this part of a holder. */
    private static final double SLOW_HOLDER_WEIGHT = 0.5;

    /** Value of loading a layer that one engine of the data centre holds. */
    private static final double VALUE_HELD_ONCE_HERE = 10;

    /** Value of loading a layer that several engines of the data centre hold; divided by their number. */
    private static final double VALUE_HELD_OFTEN_HERE = 1;

    private Planner() {}

    /**
     * Returns the orders to send now.
     *
     * @param spec the model
     * @param engines the engines that accept work and can be reached, with the layers that they hold or are loading
     * @param busy engines that get no order, since they are still executing one
     * @param reserved empty engines that are reserved for layers without a holder in their data centre
     */
    public static List<Placement> plan(
            EngineSpec spec, List<BackendServer> engines, Set<BackendServerId> busy, Set<BackendServerId> reserved) {
        return plan(spec, engines, busy, reserved, PlacementPreferences.NONE);
    }

    /** Returns the orders to send now, with preferences that apply after the rules for layers without a holder. */
    public static List<Placement> plan(
            EngineSpec spec,
            List<BackendServer> engines,
            Set<BackendServerId> busy,
            Set<BackendServerId> reserved,
            PlacementPreferences preferences) {
        return new PlanningRun(spec, engines, busy, reserved, preferences).run();
    }

    /** Returns as text, for each data centre with engines, how many layers have no holder there and how many have one. */
    public static String coverage(EngineSpec spec, List<BackendServer> engines) {
        PlanningRun run = new PlanningRun(spec, engines, Set.of(), Set.of(), PlacementPreferences.NONE);
        StringBuilder text = new StringBuilder();
        run.holderCounts.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(entry -> {
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

    private static final class PlanningRun {
        private final EngineSpec spec;
        private final Map<DataCentre, List<BackendServer>> byDataCentre = new HashMap<>();
        private final Map<DataCentre, int[]> holderCounts = new HashMap<>();
        private final Set<BackendServerId> busy;
        private final Set<BackendServerId> reserved;
        private final PlacementPreferences preferences;

        /** Engines that hold or are loading each layer and are not slow. */
        private final Map<DataCentre, int[]> soundCounts = new HashMap<>();

        private final Map<DataCentre, Integer> requestsPerEngine = new HashMap<>();

        PlanningRun(
                EngineSpec spec,
                List<BackendServer> engines,
                Set<BackendServerId> busy,
                Set<BackendServerId> reserved,
                PlacementPreferences preferences) {
            this.spec = spec;
            this.preferences = preferences;
            this.busy = busy;
            this.reserved = reserved;
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
                holderCounts.put(at, new int[spec.layers()]);
                soundCounts.put(at, new int[spec.layers()]);
                here.forEach(engine -> engine.layers().ifPresent(range -> addHolder(engine, range, 1)));
            });
            int most = requestsThatFit();
            byDataCentre.forEach((at, here) -> requestsPerEngine.put(at, requestsForDemand(at, here, most)));
        }

        List<Placement> run() {
            List<Placement> orders = new ArrayList<>();
            byDataCentre.keySet().stream().sorted().forEach(at -> {
                int before = orders.size();
                fillEmptyEngines(at, orders);
                if (orders.size() == before) {
                    moveRedundantEngine(at).or(() -> extendIntoGap(at)).ifPresent(orders::add);
                }
                long additional = orders.stream().filter(Placement::additional).count();
                if (orders.size() == before && additional < preferences.additionalLoads()) {
                    relieveSlowEngine(at).ifPresent(orders::add);
                }
            });
            return orders;
        }

        /**
         * Moves one sound engine to layers that only slow engines hold. Layers that an engine is still loading do not
         * make another holder of them redundant, so that no layer is without a sound holder while engines load.
         */
        private Optional<Placement> relieveSlowEngine(DataCentre at) {
            if (preferences.slowEngines().isEmpty() || hasGap(at)) {
                return Optional.empty();
            }
            int[] sound = soundCounts.get(at);
            MoveValue relieved = (range, capacity) -> countLayersWithFewHolders(sound, range);
            return mostValuableMove(at, this::isSound, readySoundCounts(at), relieved)
                    .map(move -> new Placement(move.server(), move.layers(), true));
        }

        /** Value of a new range of an engine that holds nothing else then; 0 if the engine is not to be moved to it. */
        private interface MoveValue {
            double of(LayerRange range, int capacity);
        }

        /**
         * The most valuable move of an engine whose layers all have another holder. Of equal ones the last, which is the
         * slowest card, so that fast engines stay on the paths.
         *
         * @param holders number of holders of each layer, of which one may be moved away from it
         */
        private Optional<Placement> mostValuableMove(
                DataCentre at, Predicate<BackendServer> mayMove, int[] holders, MoveValue value) {
            Placement best = null;
            double bestValue = 0;
            for (BackendServer engine : byDataCentre.get(at)) {
                LayerRange old = engine.layers().orElse(null);
                int capacity = layerCapacity(engine, requestsPerEngine.get(at));
                boolean movable = old != null && capacity > 0 && !busy.contains(engine.id()) && mayMove.test(engine);
                if (!movable || !isRedundant(holders, old)) {
                    continue;
                }
                addHolder(engine, old, -1);
                LayerRange range = mostValuableRange(at, capacity);
                double moveValue = value.of(range, capacity);
                addHolder(engine, old, 1);
                if (moveValue > 0 && moveValue >= bestValue) {
                    bestValue = moveValue;
                    best = new Placement(engine, range);
                }
            }
            return Optional.ofNullable(best);
        }

        /** Engines that hold each layer, are not slow and carry out no order. */
        private int[] readySoundCounts(DataCentre at) {
            int[] counts = new int[spec.layers()];
            byDataCentre.get(at).stream()
                    .filter(engine -> isSound(engine) && !busy.contains(engine.id()))
                    .forEach(engine -> engine.layers().ifPresent(range -> add(counts, range, 1)));
            return counts;
        }

        private boolean isSound(BackendServer engine) {
            return !preferences.slowEngines().contains(engine.id());
        }

        private void fillEmptyEngines(DataCentre at, List<Placement> orders) {
            for (BackendServer engine : byDataCentre.get(at)) {
                int capacity = layerCapacity(engine, requestsPerEngine.get(at));
                boolean isReserved = reserved.contains(engine.id()) && !hasGap(at);
                if (engine.layers().isEmpty() && capacity > 0 && !isReserved && !busy.contains(engine.id())) {
                    LayerRange range = mostValuableRange(at, capacity);
                    addHolder(engine, range, 1);
                    orders.add(new Placement(engine, range));
                }
            }
        }

        /**
         * Moves one engine whose layers all have another holder in the data centre to layers that have none. Chooses the
         * engine whose new range consists of such layers to the largest part of its capacity; of equal ones the slowest,
         * so that fast engines stay on the paths.
         */
        private Optional<Placement> moveRedundantEngine(DataCentre at) {
            if (!hasGap(at)) {
                return Optional.empty();
            }
            int[] here = holderCounts.get(at);
            MoveValue share = (range, capacity) -> countLayersWithFewHolders(here, range) / (double) capacity;
            return mostValuableMove(at, engine -> true, here, share);
        }

        /**
         * Extends one engine that ends at a gap into it. If the card of the engine is full, the engine drops layers at
         * its other end that another engine also holds. If no engine can be extended, another engine takes over layers
         * of an engine beside the gap. When engines do not return, the others thus close the gap step by step with
         * memory reserved for requests, and the layers that they hold remain in service.
         */
        private Optional<Placement> extendIntoGap(DataCentre at) {
            int[] here = holderCounts.get(at);
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
            return mostLayersAdded(at, engine -> extendedRange(engine, here, low, high))
                    .or(() -> mostLayersAdded(at, engine -> takeoverRange(engine, at, low, high)));
        }

        /** The order that adds most layers; of equal ones the one to the fastest engine, which is sorted first. */
        private Optional<Placement> mostLayersAdded(
                DataCentre at, Function<BackendServer, Optional<LayerRange>> newRange) {
            return byDataCentre.get(at).stream()
                    .filter(engine -> engine.layers().isPresent() && !busy.contains(engine.id()))
                    .flatMap(engine -> newRange.apply(engine).map(range -> new Placement(engine, range)).stream())
                    .max(Comparator.comparingInt(PlanningRun::addedLayers));
        }

        private static int addedLayers(Placement placement) {
            LayerRange old = placement.server().layers().orElseThrow();
            return Math.max(0, old.from() - placement.layers().from())
                    + Math.max(0, placement.layers().to() - old.to());
        }

        /** The range with which an engine that ends at the gap reaches furthest into it. */
        private Optional<LayerRange> extendedRange(BackendServer engine, int[] here, int from, int to) {
            LayerRange old = engine.layers().orElseThrow();
            int capacity = layerCapacity(engine, MIN_REQUESTS);
            if (old.to() == from) {
                int start = old.from();
                while (start < old.to() - 1 && here[start] > 1) {
                    start++;
                }
                int end = Math.min(to, start + capacity);
                return end > from ? Optional.of(range(Math.max(old.from(), end - capacity), end)) : Optional.empty();
            }
            if (old.from() == to) {
                int end = old.to();
                while (end > old.from() + 1 && here[end - 1] > 1) {
                    end--;
                }
                int start = Math.max(from, end - capacity);
                return start < to ? Optional.of(range(start, Math.min(old.to(), start + capacity))) : Optional.empty();
            }
            return Optional.empty();
        }

        /** The range with which an engine takes over layers of another engine that ends at the gap. */
        private Optional<LayerRange> takeoverRange(BackendServer engine, DataCentre at, int from, int to) {
            LayerRange old = engine.layers().orElseThrow();
            int spare = layerCapacity(engine, MIN_REQUESTS) - (old.to() - old.from());
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

        private boolean hasGap(DataCentre at) {
            return Arrays.stream(holderCounts.get(at)).anyMatch(holders -> holders == 0);
        }

        private static boolean isRedundant(int[] here, LayerRange range) {
            return countLayersWithFewHolders(here, range, 1) == 0;
        }

        private static int countLayersWithFewHolders(int[] here, LayerRange range) {
            return countLayersWithFewHolders(here, range, 0);
        }

        /** Counts the layers of the range with at most {@code maxHolders} holders. */
        private static int countLayersWithFewHolders(int[] here, LayerRange range, int maxHolders) {
            int count = 0;
            for (int layer = range.from(); layer < range.to(); layer++) {
                count += here[layer] <= maxHolders ? 1 : 0;
            }
            return count;
        }

        /** The most valuable range of that many layers; the first of equal ones, so that ranges adjoin. */
        private LayerRange mostValuableRange(DataCentre at, int layers) {
            int size = Math.min(layers, spec.layers());
            double bestValue = -1;
            int bestFrom = 0;
            for (int from = 0; from + size <= spec.layers(); from++) {
                double value = 0;
                for (int layer = from; layer < from + size; layer++) {
                    value += layerValue(at, layer);
                }
                if (value > bestValue) {
                    bestValue = value;
                    bestFrom = from;
                }
            }
            return range(bestFrom, bestFrom + size);
        }

        private double layerValue(DataCentre at, int layer) {
            int here = holderCounts.get(at)[layer];
            if (here > 0) {
                int sound = soundCounts.get(at)[layer];
                if (sound == 0) {
                    return VALUE_HELD_BY_SLOW_HERE;
                }
                double holders = sound + SLOW_HOLDER_WEIGHT * (here - sound);
                return here == 1 ? VALUE_HELD_ONCE_HERE : VALUE_HELD_OFTEN_HERE / holders;
            }
            boolean unheld = holderCounts.values().stream().allMatch(counts -> counts[layer] == 0);
            return unheld ? VALUE_HELD_NOWHERE : VALUE_NOT_HELD_HERE;
        }

        private void addHolder(BackendServer engine, LayerRange range, int by) {
            add(holderCounts.get(engine.dataCentre()), range, by);
            if (isSound(engine)) {
                add(soundCounts.get(engine.dataCentre()), range, by);
            }
        }

        private static void add(int[] counts, LayerRange range, int by) {
            for (int layer = range.from(); layer < range.to(); layer++) {
                counts[layer] += by;
            }
        }

        /** The most requests, within bounds, for which each data centre still holds enough copies of the model. */
        private int requestsThatFit() {
            for (int requests = (int) (MAX_REQUESTS_PART * spec.slots());
                    requests > MIN_REQUESTS;
                    requests -= REQUESTS_STEP) {
                int candidate = requests;
                if (byDataCentre.values().stream().allMatch(here -> holdCopies(here, candidate, TARGET_COPIES))) {
                    return requests;
                }
            }
            return MIN_REQUESTS;
        }

        /**
         * The most requests, at most {@code most}, for which a data centre with more demand than the mean holds more
         * copies in the same proportion.
         */
        private int requestsForDemand(DataCentre at, List<BackendServer> here, int most) {
            double factor = preferences.demandFactors().getOrDefault(at, 1.0);
            int requests = most;
            while (factor > 1 && requests > MIN_REQUESTS && !holdCopies(here, requests, TARGET_COPIES * factor)) {
                requests = Math.max(MIN_REQUESTS, requests - REQUESTS_STEP);
            }
            return requests;
        }

        private boolean holdCopies(List<BackendServer> here, int requests, double copies) {
            return here.stream()
                            .mapToInt(engine -> layerCapacity(engine, requests))
                            .sum()
                    >= copies * spec.layers();
        }

        /** Layers that fit on the engine's card beside the memory of that many requests of the usual size. */
        private int layerCapacity(BackendServer engine, int requests) {
            double requestsMb = requests * spec.meanRequestTokens() * spec.tokenMbPerLayer();
            return (int) Math.min(spec.layers(), card(engine).memoryMb() / (spec.layerMb() + requestsMb));
        }

        private CardKind card(BackendServer engine) {
            return spec.card(engine.card()).orElseThrow();
        }
    }
}
