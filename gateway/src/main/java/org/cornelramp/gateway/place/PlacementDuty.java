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
import java.util.function.Supplier;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.placement.Placement;
import org.cornelramp.core.placement.Planner;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.routing.ServiceSpec;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.FleetView;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.StoreFault;

/**
 * Gives the engines their layers while this process leads.
 *
 * <p>A leader that was paused and wakes late may still give orders for a moment, and so may one whose lease ran out
 * unseen; each order names how many went before it, so an engine that has heard another one meanwhile refuses. Owned
 * by its own thread, but for start and stop.
 */
public final class PlacementDuty {
    private static final long STEP_MILLIS = 150;

    /** The first plan waits until no more engines come, so that the fast ones get their share first. */
    private static final long SETTLE_MILLIS = 1_200;

    /** An order whose layers do not show by then is taken as lost; loads may take three times as long as alone. */
    private static final long LOST_MILLIS = 4_000;

    private static final double LOAD_FACTOR = 3;

    /**
     * How long a new engine is kept for layers that nobody holds. In a release a new engine comes about a second before
     * the old one says that it leaves; filled with a second copy at once, it would have to load twice.
     */
    private static final long NEWCOMER_MILLIS = 2_500;

    /** Pause after an engine has refused an order: it is busy with one, and its report is a little old. */
    private static final long REFUSED_MILLIS = 700;

    private final LeaderLease lease;
    private final EngineControl engines;
    private final ConfigHolder config;
    private final Supplier<FleetView> fleet;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private final Thread thread = new Thread(this::run, "placement");
    private final Map<BackendServerId, Order> orders = new HashMap<>();
    private final Map<BackendServerId, Long> accepted = new HashMap<>();
    private volatile boolean running = true;
    private String toldCoverage = "";
    private LeaderLease.Term lastTerm = LeaderLease.NONE;
    private int enginesSeen;
    private long enginesSeenMillis;

    private final Map<BackendServerId, Long> firstSeen = new HashMap<>();

    private record Order(LayerRange layers, long untilMillis) {}

    public PlacementDuty(
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
        thread.setDaemon(true);
    }

    /** Starts the duty's thread. */
    public void start() {
        thread.start();
    }

    /** Tells the thread to end; a call under way is not waited for. */
    public void stop() {
        running = false;
        thread.interrupt();
    }

    private void run() {
        while (running) {
            try {
                step(clock.millis());
            } catch (RuntimeException e) {
                log.line("placement", "step failed").with("fault", e).write();
            }
            LockSupport.parkNanos(this, STEP_MILLIS * 1_000_000L);
        }
    }

    private void step(long now) {
        LeaderLease.Term term = lease.term(now);
        if (!term.equals(lastTerm)) {
            orders.clear();
            accepted.clear();
            lastTerm = term;
        }
        FleetView view = fleet.get();
        Optional<RoutingConfig> version = config.current();
        // Without the store no gateway learns of new layers, this one included: moved engines would be moved again.
        if (term.equals(LeaderLease.NONE) || version.isEmpty() || !view.known() || !view.storeAvailable()) {
            return;
        }
        for (ServiceSpec service : version.get().services()) {
            service.engine().ifPresent(spec -> place(service, spec, view, now));
        }
    }

    private void place(ServiceSpec service, EngineSpec spec, FleetView view, long now) {
        List<BackendServer> known = new ArrayList<>();
        for (BackendServer server : view.servers()) {
            boolean fits = server.service().equals(service.name())
                    && server.state().takesWork()
                    && !view.suspects().contains(server.id());
            if (fits) {
                known.add(withOrder(server, now));
            }
        }
        if (!hasSettled(known, now)) {
            return;
        }
        String coverage = Planner.coverage(spec, known);
        if (!coverage.equals(toldCoverage)) {
            toldCoverage = coverage;
            log.line("placement", "coverage")
                    .with("layers", coverage)
                    .with("engines", known.size())
                    .with("loading", orders.size())
                    .write();
        }
        Set<BackendServerId> fixed = new HashSet<>(orders.keySet());
        known.forEach(server -> firstSeen.putIfAbsent(server.id(), now));
        firstSeen
                .keySet()
                .retainAll(view.servers().stream().map(BackendServer::id).toList());
        Set<BackendServerId> newcomers = new HashSet<>();
        known.stream()
                .map(BackendServer::id)
                .filter(id -> now - firstSeen.get(id) < NEWCOMER_MILLIS)
                .forEach(newcomers::add);
        for (Placement placement : Planner.plan(spec, known, fixed, newcomers)) {
            order(placement, spec, now);
        }
    }

    /** The server with the layers that it has been ordered to load. */
    private BackendServer withOrder(BackendServer server, long now) {
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

    private boolean hasSettled(List<BackendServer> known, long now) {
        long holding =
                known.stream().filter(server -> server.layers().isPresent()).count();
        if (known.size() != enginesSeen) {
            enginesSeen = known.size();
            enginesSeenMillis = now;
        }
        return holding > 0 || now - enginesSeenMillis >= SETTLE_MILLIS;
    }

    private void order(Placement placement, EngineSpec spec, long now) {
        BackendServer engine = placement.server();
        long before = accepted.getOrDefault(engine.id(), 0L);
        if (engine.layers().isPresent() && !accepted.containsKey(engine.id())) {
            learn(engine, now);
            orders.remove(engine.id());
            return;
        }
        Either<StoreFault, byte[]> result = engines.place(engine, placement.layers(), before);
        meters.ordered(result.isRight());
        log.line("placement", result.isRight() ? "ordered" : "order failed")
                .with("server", engine.id())
                .with(
                        "layers",
                        placement.layers().from() + "-" + placement.layers().to())
                .with("ordersBefore", before)
                .with("term", lastTerm.generation())
                .with("era", lastTerm.era())
                .with("fault", result.fold(StoreFault::toString, any -> ""))
                .write();
        if (result.isRight()) {
            accepted.put(engine.id(), before + 1);
        }
        if (result.isLeft() && result.getLeft().kind() == StoreFault.Kind.CONFLICT) {
            learn(engine, now);
            return;
        }
        // An order without an answer may have been accepted or may be carried out late: it counts until it is lost.
        double share = (placement.layers().to() - placement.layers().from()) / (double) spec.layers();
        long until = now + LOST_MILLIS + Math.round(LOAD_FACTOR * 1_000 * spec.loadSeconds() * share);
        orders.put(engine.id(), new Order(placement.layers(), until));
    }

    /** Asks an engine for its count of orders, and leaves it alone for a moment. */
    private void learn(BackendServer engine, long now) {
        Either<StoreFault, EngineReport> report = engines.report(engine);
        if (report.isLeft()) {
            log.line("placement", "no report")
                    .with("server", engine.id())
                    .with("fault", report.getLeft())
                    .write();
            orders.put(engine.id(), new Order(anything(engine), now + LOST_MILLIS));
            return;
        }
        accepted.put(engine.id(), report.get().orders());
        Optional<LayerRange> held = report.get().layers();
        orders.put(engine.id(), new Order(held.orElse(anything(engine)), now + REFUSED_MILLIS));
    }

    /** Stands for layers that are not known: the engine is left alone, and no plan counts on it for much. */
    private static LayerRange anything(BackendServer engine) {
        return engine.layers().orElse(new LayerRange(0, 1, 1));
    }
}
