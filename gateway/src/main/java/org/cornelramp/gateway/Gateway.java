package org.cornelramp.gateway;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.shutdown.ShutdownPeriod;
import org.cornelramp.gateway.follow.ConfigFollower;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.PeerRecordsClient;
import org.cornelramp.gateway.follow.PeerRecordsHandler;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.cornelramp.gateway.follow.ReadTiming;
import org.cornelramp.gateway.follow.RecordCache;
import org.cornelramp.gateway.follow.ServerFollower;
import org.cornelramp.gateway.follow.StoreAvailability;
import org.cornelramp.gateway.follow.TopicFollower;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerUpdateService;
import org.cornelramp.gateway.place.LayerPlacer;
import org.cornelramp.gateway.place.LeaderLease;
import org.cornelramp.gateway.request.CapacityMonitor;
import org.cornelramp.gateway.request.GatewayHttpServer;
import org.cornelramp.gateway.request.InternalHandler;
import org.cornelramp.gateway.request.PoisonClearHandler;
import org.cornelramp.gateway.request.RouteExplainHandler;
import org.cornelramp.gateway.route.AsyncEngineControl;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.Router;
import org.cornelramp.gateway.route.RouterEvent;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.MetadataStore;
import org.eclipse.jetty.server.Handler;

/**
 * Assembles the components of one gateway. {@link #beginStop} may be called by any thread, the other methods by the
 * main thread only.
 */
public final class Gateway implements AutoCloseable {
    /** Longest wait at the end of the shutdown period until the last responses are written. */
    private static final long LAST_WRITES_MILLIS = 150;

    private static final long POLL_INTERVAL_MILLIS = 20;

    /** Least bound that reads of the store are divided for; {@code drainMillis} may be 0. */
    private static final long MIN_BOUND_MILLIS = 500;

    private final GatewaySettings settings;
    private final SteadyClock clock;
    private final EventLog log;
    private final HttpClients clients;
    private final Meters meters;
    private final Router router;
    private final ConfigFollower configFollower;
    private final ServerFollower serverFollower;
    private final PeerUpdateService peers;
    private final LeaderLease lease;
    private final LayerPlacer layerPlacer;
    private final Optional<CapacityMonitor> capacity;
    private final GatewayHttpServer server;
    private final CountDownLatch stop = new CountDownLatch(1);

    /** Binds the address for clients' requests at once; requests are served after {@link #start}. */
    public Gateway(GatewaySettings settings, SteadyClock clock, EventLog log) throws IOException {
        ServerSocketChannel listener = GatewayHttpServer.open(settings.requests());
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        ReadTiming readTiming = readTiming(settings.timing());
        this.clients = new HttpClients(readTiming.connectionIdleMillis());
        this.meters = new Meters();
        ConfigHolder config = new ConfigHolder();
        MetadataStore store = new MetadataStore(clients.store(), settings.store(), clock::millis);
        EngineControl control = new EngineControl(clients.pooled(), clock::millis);
        this.router =
                new Router(settings, clients, config, clock, log, meters, AsyncEngineControl.withOwnThreads(control));
        RecordCache cache = new RecordCache();
        StoreAvailability storeAvailability = new StoreAvailability();
        ReadCoordinator readCoordinator = new ReadCoordinator(settings.metrics(), readTiming, storeAvailability);
        BooleanSupplier isLeader = () -> !this.lease().term(clock.millis()).equals(LeaderLease.NONE);
        PeerConfigVersions versions = new PeerConfigVersions(
                () -> config.current().map(RoutingConfig::version).orElse(PeerConfigVersions.NONE));
        this.peers = new PeerUpdateService(
                settings.peers(),
                settings.dataCentre(),
                router::currentUpdate,
                router::receivePeerUpdate,
                readCoordinator,
                versions,
                isLeader,
                clock,
                log);
        this.lease = new LeaderLease(
                settings.name(),
                settings.peers(),
                peers::setPeers,
                store,
                storeAvailability,
                Thread::new,
                clock,
                log,
                meters);
        PeerRecordsClient peerRecords =
                new PeerRecordsClient(clients.pooled(), settings.metrics().port(), peers::peers, clock::millis);
        TopicFollower.Dependencies parts = new TopicFollower.Dependencies(
                store,
                storeAvailability,
                readCoordinator,
                isLeader,
                cache,
                peerRecords,
                Thread::new,
                readTiming,
                clock,
                log,
                meters);
        this.configFollower = new ConfigFollower(parts, config, versions);
        this.serverFollower = new ServerFollower(parts, router);
        this.layerPlacer = new LayerPlacer(lease, control, config, router::view, clock, log, meters);
        registerGauges(config);
        this.capacity = settings.limits().map(this::capacityMonitor);
        this.server = new GatewayHttpServer(
                settings,
                listener,
                clients.threads(),
                config,
                router,
                capacity,
                internalHandler(cache, config),
                clock,
                log,
                meters);
    }

    private CapacityMonitor capacityMonitor(GatewaySettings.Limits limits) {
        CapacityMonitor.Sources sources = new CapacityMonitor.Sources(
                Gateway::processorNanos,
                router::takeLongestLagMillis,
                router::activeRequestCount,
                router.capacity()::peers);
        return new CapacityMonitor(settings.name(), limits, sources, clock, log, meters);
    }

    private static long processorNanos() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system
                ? system.getProcessCpuTime()
                : -1;
    }

    private Handler internalHandler(RecordCache cache, ConfigHolder config) {
        PoisonClearHandler poison =
                new PoisonClearHandler(fingerprint -> router.offer(new RouterEvent.PoisonCleared(fingerprint)));
        RouteExplainHandler explain = new RouteExplainHandler(config, router::offer, clock);
        Handler others = new Handler.Sequence(poison, explain, new PeerRecordsHandler(cache, config, clock));
        return new InternalHandler(meters, others);
    }

    /** Both topics are read alike, so the smaller of the two bounds holds for both. */
    private static ReadTiming readTiming(GatewaySettings.Timing timing) {
        return ReadTiming.of(Math.max(MIN_BOUND_MILLIS, Math.min(timing.applyMillis(), timing.drainMillis())));
    }

    private void registerGauges(ConfigHolder config) {
        meters.gauge("requests.underway", router::activeRequestCount);
        meters.gauge("servers", () -> router.view().servers().size());
        meters.gauge("servers.suspected", () -> router.view().suspects().size());
        meters.gauge(
                "config.version",
                () -> config.current().map(RoutingConfig::version).orElse(-1L));
        meters.gauge("connects.underway", clients::connectsUnderWay);
        meters.gauge("connects.late", clients::lateConnects);
        meters.gauge("log.dropped", log::dropped);
        meters.gauge("log.skipped", log::skipped);
    }

    /** The HTTP clients for backend servers and the store. */
    HttpClients clients() {
        return clients;
    }

    private LeaderLease lease() {
        return lease;
    }

    private void exchangeStatuses(CapacityMonitor monitor) {
        double smallCores = settings.limits().orElseThrow().smallCores();
        router.capacity().setOwnStatus(() -> monitor.status(server.isOtherwiseReady()), smallCores);
    }

    /** Starts all components. */
    public void start() throws Exception {
        capacity.ifPresent(this::exchangeStatuses);
        log.line("process", "start")
                .with("dataCentre", settings.dataCentre())
                .with("limits", settings.limits())
                .write();
        clients.start();
        configFollower.start();
        serverFollower.start();
        router.start();
        server.start();
        peers.start();
        lease.start();
        layerPlacer.start();
        capacity.ifPresent(CapacityMonitor::start);
        meters.start();
    }

    /** Begins a planned shutdown; further calls have no effect. */
    public void beginStop() {
        stop.countDown();
    }

    /** Waits for a planned shutdown, lets the requests in progress finish, and stops all components. */
    public void awaitStop() throws Exception {
        stop.await();
        long beganMillis = clock.millis();
        ShutdownPeriod period = ShutdownPeriod.of(beganMillis, settings.timing().graceMillis());
        router.shutdown().begin(period);
        log.line("process", "stop begins")
                .with("underWay", server.openRequestCount())
                .with("endsAfterMillis", period.endMillis() - beganMillis)
                .write();
        server.beginShutdown();
        router.announceStop();
        layerPlacer.stop();
        lease.stop();
        awaitRequests(period);
        log.line("process", "stop").with("cut", server.openRequestCount()).write();
        close();
    }

    /**
     * Waits until all requests have their response. Those that have none at the end of the period are answered by the
     * router then, or here if it does not know of them yet.
     */
    private void awaitRequests(ShutdownPeriod period) throws InterruptedException {
        while (!period.isOver(clock.millis())) {
            boolean idle = !period.isNoticePending(clock.millis()) && server.openRequestCount() == 0;
            if (idle) {
                router.shutdown().close();
            }
            if (idle && server.openRequestCount() == 0) {
                return; // none was accepted in between
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        server.refuseUnread();
        while (server.openRequestCount() > 0 && clock.millis() < period.endMillis() + LAST_WRITES_MILLIS) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Stops all components at once and cuts off requests in progress. */
    @Override
    public void close() throws Exception {
        capacity.ifPresent(CapacityMonitor::stop);
        configFollower.stop();
        serverFollower.stop();
        layerPlacer.stop();
        lease.stop();
        peers.stop();
        server.stop();
        router.stop();
        clients.stop();
        meters.stop();
    }
}
