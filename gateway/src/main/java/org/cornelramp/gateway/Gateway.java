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
    /** Time until the balancer sends no new connections: two failed readiness checks, a second apart, plus a margin. */
    private static final long BALANCER_NOTICE_MILLIS = 2_500;

    /** Rest of the grace time that is reserved for sending the last responses and ending the process. */
    private static final long END_MARGIN_MILLIS = 400;

    /**
     * Time after the stop signal from which new streams are refused; they would be cut off at the end of the grace
     * time.
     */
    private static final long REFUSE_STREAMS_AFTER_MILLIS = 2_800;

    /** Time before the end from which all new requests are refused; the longest plain requests take a second. */
    private static final long REFUSE_ALL_BEFORE_END_MILLIS = 1_200;

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
        log.line("process", "stop begins")
                .with("underWay", router.activeRequestCount())
                .write();
        server.beginShutdown();
        router.announceStop();
        layerPlacer.stop();
        lease.stop();
        long limitMillis = beganMillis + settings.timing().graceMillis() - END_MARGIN_MILLIS;
        while (clock.millis() < limitMillis
                && (clock.millis() < beganMillis + BALANCER_NOTICE_MILLIS || router.activeRequestCount() > 0)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            if (clock.millis() >= beganMillis + REFUSE_STREAMS_AFTER_MILLIS) {
                server.refuseStreams();
                router.refuseWaitingStreams();
            }
            if (clock.millis() >= limitMillis - REFUSE_ALL_BEFORE_END_MILLIS) {
                server.refuseNew();
            }
        }
        router.offer(new RouterEvent.ProcessEnds());
        Thread.sleep(POLL_INTERVAL_MILLIS);
        log.line("process", "stop").with("cut", router.activeRequestCount()).write();
        close();
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
