package org.cornelramp.gateway.place;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.placement.Placement;
import org.cornelramp.core.placement.PlacementPreferences;
import org.cornelramp.core.placement.Planner;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.daemon.kernel.StepGuard;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.FleetView;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.PlatformFault;

/**
 * Assigns layers to the engines while this process is the leader.
 *
 * <p>A leader that was paused, or whose lease has expired unnoticed, may still send orders for a moment. So each order
 * states the number of orders that the engine has accepted before, and an engine that has accepted another one
 * meanwhile refuses it. All state is confined to the object's own thread; start and stop may be called by another one.
 */
public final class LayerPlacer {
    private static final long STEP_MILLIS = 150;

    /**
     * The first plan waits until the number of engines has been stable for this time, so that fast engines get their
     * layers first.
     */
    private static final long STABLE_FLEET_MILLIS = 1_200;

    /**
     * An order counts as lost if its layers are not registered within this time plus {@link #LOAD_FACTOR} times the
     * load time; concurrent loads may take three times as long as a single one.
     */
    private static final long ORDER_TIMEOUT_MILLIS = 4_000;

    private static final double LOAD_FACTOR = 3;

    /**
     * Time for which a new engine is reserved for layers that no engine holds. In a release, a new engine registers
     * about a second before the old one announces its shutdown; if it got a second copy of other layers at once, it
     * would have to load twice.
     */
    private static final long NEW_ENGINE_MILLIS = 2_500;

    /**
     * Pause after an engine has refused an order: it is carrying out another one, and its report may be slightly
     * outdated.
     */
    private static final long REFUSAL_PAUSE_MILLIS = 700;

    private final LeaderLease lease;
    private final EngineControl engines;
    private final ConfigHolder config;
    private final Supplier<FleetView> fleet;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private final PlacementDemand demand;
    private final Thread thread = new Thread(this::run, "placement");
    private final Map<BackendServerId, Order> orders = new HashMap<>();
    private final Map<BackendServerId, Long> acceptedOrders = new HashMap<>();
    private volatile boolean running = true;
    private String loggedCoverage = "";
    private LeaderLease.Term lastTerm = LeaderLease.NONE;
    private int enginesSeen;
    private long enginesSeenMillis;

    private final Map<BackendServerId, Long> firstSeenMillis = new HashMap<>();

    private record Order(LayerRange layers, long untilMillis) {}

    public LayerPlacer(
            LeaderLease lease,
            EngineControl engines,
            ConfigHolder config,
            Supplier<FleetView> fleet,
            SteadyClock clock,
            EventLog log,
            Meters meters) {
        this.lease = lease;
        this.engines = engines;
        this.config = config;
        this.fleet = fleet;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        this.demand = new PlacementDemand(log);
        thread.setDaemon(true);
    }

    /** Starts the placement thread. */
    public void start() {
        thread.start();
    }

    /** Tells the thread to end, without waiting for a call in progress. */
    public void stop() {
        running = false;
        thread.interrupt();
    }

    private void run() {
        Runnable step = () -> step(clock.millis());
        Consumer<Throwable> onFailure = this::logFailure;
        while (running) {
            StepGuard.run(step, onFailure);
            LockSupport.parkNanos(this, STEP_MILLIS * 1_000_000L);
        }
    }

    private void logFailure(Throwable failure) {
        log.line("placement", "step failed").with("fault", failure).write();
    }

    private void step(long now) {
        FleetView view = fleet.get();
        demand.observe(view, now);
        LeaderLease.Term term = lease.term(now);
        if (!term.equals(lastTerm)) {
            orders.clear();
            acceptedOrders.clear();
            demand.startTerm(now);
            lastTerm = term;
        }
        Optional<RoutingConfig> version = config.current();
        // Without the store no gateway learns of new layers, this one included, so it would order engines to load again
        // and again.
        if (term.equals(LeaderLease.NONE) || version.isEmpty() || !view.initialised() || !view.storeAvailable()) {
            return;
        }
        for (ServiceSpec service : version.get().services()) {
            service.engine().ifPresent(spec -> place(service, spec, view, now));
        }
    }

    private void place(ServiceSpec service, EngineSpec spec, FleetView view, long now) {
        List<BackendServer> candidates = new ArrayList<>();
        for (BackendServer server : view.servers()) {
            boolean fits = server.service().equals(service.name())
                    && server.state().takesWork()
                    && !view.suspects().contains(server.id());
            if (fits) {
                candidates.add(withOrderedLayers(server, now));
            }
        }
        if (!isFleetStable(candidates, now)) {
            return;
        }
        String coverage = Planner.coverage(spec, candidates);
        if (!coverage.equals(loggedCoverage)) {
            loggedCoverage = coverage;
            log.line("placement", "coverage")
                    .with("layers", coverage)
                    .with("engines", candidates.size())
                    .with("loading", orders.size())
                    .write();
        }
        Set<BackendServerId> busy = new HashSet<>(orders.keySet());
        candidates.forEach(server -> firstSeenMillis.putIfAbsent(server.id(), now));
        firstSeenMillis
                .keySet()
                .retainAll(view.servers().stream().map(BackendServer::id).toList());
        Set<BackendServerId> reserved = new HashSet<>();
        candidates.stream()
                .map(BackendServer::id)
                .filter(id -> now - firstSeenMillis.get(id) < NEW_ENGINE_MILLIS)
                .forEach(reserved::add);
        PlacementPreferences preferences = demand.preferences(service.name(), now);
        for (Placement placement : Planner.plan(spec, candidates, busy, reserved, preferences)) {
            sendOrder(placement, spec, now);
        }
    }

    /** The server with the layers that it has been ordered to load; without a pending order, as it is registered. */
    private BackendServer withOrderedLayers(BackendServer server, long now) {
        Order order = orders.get(server.id());
        if (order == null) {
            return server;
        }
        boolean done =
                server.layers().filter(held -> sameRange(held, order.layers())).isPresent();
        if (done || now >= order.untilMillis()) {
            orders.remove(server.id());
            return server;
        }
        return server.withLayers(Optional.of(order.layers()));
    }

    private static boolean sameRange(LayerRange a, LayerRange b) {
        return a.from() == b.from() && a.to() == b.to();
    }

    private boolean isFleetStable(List<BackendServer> candidates, long now) {
        long holding = candidates.stream()
                .filter(server -> server.layers().isPresent())
                .count();
        if (candidates.size() != enginesSeen) {
            enginesSeen = candidates.size();
            enginesSeenMillis = now;
        }
        return holding > 0 || now - enginesSeenMillis >= STABLE_FLEET_MILLIS;
    }

    private void sendOrder(Placement placement, EngineSpec spec, long now) {
        BackendServer engine = placement.server();
        long before = acceptedOrders.getOrDefault(engine.id(), 0L);
        if (engine.layers().isPresent() && !acceptedOrders.containsKey(engine.id())) {
            refreshOrderCount(engine, now);
            orders.remove(engine.id());
            return;
        }
        Either<PlatformFault, byte[]> result = engines.place(engine, placement.layers(), before);
        meters.countOrder(result.isRight());
        if (placement.additional()) {
            demand.recordAdditionalLoad(now);
            meters.countAdditionalLoad(result.isRight());
        }
        log.line("placement", result.isRight() ? "ordered" : "order failed")
                .with("server", engine.id())
                .with(
                        "layers",
                        placement.layers().from() + "-" + placement.layers().to())
                .with("additional", placement.additional())
                .with("ordersBefore", before)
                .with("term", lastTerm.generation())
                .with("era", lastTerm.era())
                .with("fault", result.fold(PlatformFault::toString, any -> ""))
                .write();
        if (result.isRight()) {
            acceptedOrders.put(engine.id(), before + 1);
        }
        if (result.isLeft() && result.getLeft().kind() == PlatformFault.Kind.CONFLICT) {
            refreshOrderCount(engine, now);
            return;
        }
        // An order without an answer may have been accepted or may be carried out late, so it stays pending until it
        // times out.
        double share = (placement.layers().to() - placement.layers().from()) / (double) spec.layers();
        long until = now + ORDER_TIMEOUT_MILLIS + Math.round(LOAD_FACTOR * 1_000 * spec.loadSeconds() * share);
        orders.put(engine.id(), new Order(placement.layers(), until));
    }

    /** Reads an engine's order count from its report, and excludes the engine from planning for a short time. */
    private void refreshOrderCount(BackendServer engine, long now) {
        Either<PlatformFault, EngineReport> report = engines.report(engine);
        if (report.isLeft()) {
            log.line("placement", "no report")
                    .with("server", engine.id())
                    .with("fault", report.getLeft())
                    .write();
            orders.put(engine.id(), new Order(unknownLayers(engine), now + ORDER_TIMEOUT_MILLIS));
            return;
        }
        acceptedOrders.put(engine.id(), report.get().acceptedOrders());
        Optional<LayerRange> held = report.get().layers();
        orders.put(engine.id(), new Order(held.orElse(unknownLayers(engine)), now + REFUSAL_PAUSE_MILLIS));
    }

    /**
     * Placeholder for unknown layers: it excludes the engine from planning, and adds little to the planned coverage.
     */
    private static LayerRange unknownLayers(BackendServer engine) {
        return engine.layers().orElse(new LayerRange(0, 1, 1));
    }
}
