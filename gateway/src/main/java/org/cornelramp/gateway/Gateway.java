package org.cornelramp.gateway;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.follow.ConfigFollower;
import org.cornelramp.gateway.follow.TopicFollower;
import org.cornelramp.gateway.follow.PeerRecordsClient;
import org.cornelramp.gateway.follow.PeerRecordsHandler;
import org.cornelramp.gateway.follow.PeerConfigVersions;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.cornelramp.gateway.follow.RecordCache;
import org.cornelramp.gateway.follow.ServerFollower;
import org.cornelramp.gateway.follow.StoreAvailability;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerLink;
import org.cornelramp.gateway.place.LeaderLease;
import org.cornelramp.gateway.place.LayerPlacer;
import org.cornelramp.gateway.request.FrontServer;
import org.cornelramp.gateway.request.InternalHandler;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.AsyncEngineControl;
import org.cornelramp.gateway.route.Router;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.MetadataStore;

/** All parts of one gateway. {@link #beginStop} may be called by any thread, the rest by the main thread only. */
public final class Gateway implements AutoCloseable {
    /** After two missed questions, a second apart, the balancer sends no new connections; then a margin. */
    private static final long UNLISTED_MILLIS = 2_500;

    /** Left of the grace time for the last answers to leave and the process to end. */
    private static final long MARGIN_MILLIS = 400;

    /** After this time from the stop signal no stream is begun: it would be cut when the grace time ends. */
    private static final long STREAMS_MILLIS = 2_800;

    /** Before the end no plain request is begun; the longest ones take a second. */
    private static final long SHORT_MILLIS = 1_200;

    private static final long POLL_MILLIS = 20;

    private final GatewaySettings settings;
    private final SteadyClock clock;
    private final EventLog log;
    private final HttpClients clients;
    private final Meters meters;
    private final Router router;
    private final ConfigFollower configFollower;
    private final ServerFollower serverFollower;
    private final PeerLink peers;
    private final LeaderLease lease;
    private final LayerPlacer placement;
    private final FrontServer front;
    private final CountDownLatch stop = new CountDownLatch(1);

    /** Takes the address for clients' requests at once; they are served after {@link #start}. */
    public Gateway(GatewaySettings settings, SteadyClock clock, EventLog log) throws IOException {
        ServerSocketChannel door = FrontServer.open(settings.requests());
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.clients = new HttpClients();
        this.meters = new Meters();
        ConfigHolder config = new ConfigHolder();
        MetadataStore store = new MetadataStore(clients.pooled(), settings.store());
        EngineControl control = new EngineControl(clients.pooled());
        this.router = new Router(settings, clients, config, clock, log, meters, new AsyncEngineControl(control));
        RecordCache cache = new RecordCache();
        StoreAvailability access = new StoreAvailability();
        ReadCoordinator share = new ReadCoordinator(settings.metrics());
        BooleanSupplier leads = () -> !this.lease().term(clock.millis()).equals(LeaderLease.NONE);
        PeerConfigVersions versions = new PeerConfigVersions(
                () -> config.current().map(RoutingConfig::version).orElse(PeerConfigVersions.NONE));
        this.peers = new PeerLink(
                settings.peers(),
                settings.dataCentre(),
                router::currentUpdate,
                router::receivePeerUpdate,
                share,
                versions,
                leads,
                clock,
                log);
        this.lease =
                new LeaderLease(settings.name(), settings.peers(), peers::setPeers, store, access, clock, log, meters);
        PeerRecordsClient peerRecords =
                new PeerRecordsClient(clients.pooled(), settings.metrics().port(), peers::peers);
        TopicFollower.Dependencies parts = new TopicFollower.Dependencies(store, access, share, leads, cache, peerRecords, clock, log, meters);
        this.configFollower = new ConfigFollower(parts, config, versions);
        this.serverFollower = new ServerFollower(parts, router);
        this.placement = new LayerPlacer(lease, control, config, router::view, clock, log, meters);
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
        this.front = new FrontServer(
                settings,
                door,
                clients.threads(),
                config,
                router,
                new InternalHandler(meters, new PeerRecordsHandler(cache, config, clock)),
                clock,
                log,
                meters);
    }

    /** The clients that talk to backend servers and the store. */
    HttpClients clients() {
        return clients;
    }

    private LeaderLease lease() {
        return lease;
    }

    /** Starts all parts. */
    public void start() throws Exception {
        log.line("process", "start").with("dataCentre", settings.dataCentre()).write();
        clients.start();
        configFollower.start();
        serverFollower.start();
        router.start();
        front.start();
        peers.start();
        lease.start();
        placement.start();
        meters.start();
    }

    /** Begins a planned stop; a repeat changes nothing. */
    public void beginStop() {
        stop.countDown();
    }

    /** Waits for the stop, lets the requests under way end, and ends all parts. */
    public void awaitStop() throws Exception {
        stop.await();
        long begun = clock.millis();
        log.line("process", "stop begins").with("underWay", router.activeRequestCount()).write();
        front.leave();
        router.announceStop();
        placement.stop();
        lease.stop();
        long limit = begun + settings.timing().graceMillis() - MARGIN_MILLIS;
        while (clock.millis() < limit && (clock.millis() < begun + UNLISTED_MILLIS || router.activeRequestCount() > 0)) {
            Thread.sleep(POLL_MILLIS);
            if (clock.millis() >= begun + STREAMS_MILLIS) {
                front.refuseStreams();
            }
            if (clock.millis() >= limit - SHORT_MILLIS) {
                front.refuseNew();
            }
        }
        log.line("process", "stop").with("cut", router.activeRequestCount()).write();
        close();
    }

    /** Ends all parts at once, whatever is under way. */
    @Override
    public void close() throws Exception {
        configFollower.stop();
        serverFollower.stop();
        placement.stop();
        lease.stop();
        peers.stop();
        front.stop();
        router.stop();
        clients.stop();
        meters.stop();
    }
}
