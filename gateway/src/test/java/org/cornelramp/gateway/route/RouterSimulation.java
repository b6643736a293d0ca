package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.shutdown.ShutdownPeriod;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.ConfigDecoder;
import org.cornelramp.platform.EngineCalls;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.RequestHead;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;

/**
 * The decisions of a router without threads, sockets or a real clock. A test decides in which order events reach the
 * router and how engines answer. Used by one thread.
 */
final class RouterSimulation {
    /** Layers of the model, half of which each engine of a pair holds. */
    private static final int LAYERS = 8;

    /** The end of an attempt is handled in two steps, each of which may throw an exception. */
    private static final int EXCEPTIONS_OF_A_FAILED_END = 2;

    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log = new EventLog(logged, Clock.systemUTC(), "g1");
    private final Deque<RouterEvent> queue = new ArrayDeque<>();
    private final Deque<Runnable> engineCalls = new ArrayDeque<>();
    private final List<RepathOrder> repathOrders = new ArrayList<>();
    private final FakeHttpClient http = new FakeHttpClient();
    private final ConfigHolder config = new ConfigHolder();
    private final RequestRouter router;
    private RepathAnswer repathAnswer = order -> Either.right(new byte[0]);
    private Function<BackendServer, Optional<PlatformFault>> reportFaults = engine -> Optional.empty();
    private Function<BackendServer, Optional<PlatformFault>> connectFaults =
            server -> reportFaults.apply(server).filter(fault -> fault.kind() != PlatformFault.Kind.CONFLICT);
    private boolean engineCallsRejected;
    private boolean failsNextEnd;
    private final boolean priorities;
    private long failedEnds;
    private long now = 1_000;
    private long offset;

    /** An order to move a running request. Immutable. */
    record RepathOrder(BackendServer first, String requestId, StagePath path) {}

    /** How engines answer orders to move requests. */
    interface RepathAnswer {
        Either<MoveFault, byte[]> answer(RepathOrder order);
    }

    /**
     * @param more further settings, each preceded by a comma
     * @param seed of the random numbers
     */
    RouterSimulation(StandInConfig version, String more, long seed) {
        this("g1", version, more, seed);
    }

    /**
     * @param name name of the gateway
     * @param more further settings, each preceded by a comma
     * @param seed of the random numbers
     */
    RouterSimulation(String name, StandInConfig version, String more, long seed) {
        this(name, version, more, seed, false);
    }

    /**
     * A router of one seed.
     *
     * @param more further settings, each preceded by a comma
     * @param priorities whether its configurations have a more urgent route for streams, which takes every third stream
     */
    static RouterSimulation of(StandInConfig version, String more, boolean priorities) {
        return new RouterSimulation("g1", version, more, 1, priorities);
    }

    private RouterSimulation(String name, StandInConfig version, String more, long seed, boolean priorities) {
        this.priorities = priorities;
        String text =
                """
                {"name":"%s","dataCentre":"dc1","requests":"127.0.0.1:1","readiness":"127.0.0.1:2",
                 "metrics":"127.0.0.1:3","peers":"127.0.0.1:4","store":"127.0.0.1:5"%s}"""
                        .formatted(name, more);
        GatewaySettings settings = new GatewaySettingsReader().read(text).get();
        AsyncEngineControl engineControl = new AsyncEngineControl(new Calls(), this::submit, this::submit);
        router = new RequestRouter(
                settings,
                route -> http,
                config,
                () -> now,
                log,
                new Meters(),
                engineControl,
                new SplittableRandom(seed),
                queue::add,
                (attempt, end) -> queue.add(new RouterEvent.AttemptEnded(attempt, nextEnd(end))));
        publish(version);
    }

    /** Lets the handling of the next end of an attempt throw an exception. */
    void failNextEnd() {
        failsNextEnd = true;
    }

    /** Whether the router's work has thrown no exception that {@link #failNextEnd} has not caused. */
    boolean hasOnlyCausedExceptions() {
        return exceptions() <= EXCEPTIONS_OF_A_FAILED_END * failedEnds;
    }

    @SuppressWarnings("NullOptional") // the null makes the handling throw
    private AttemptEnd nextEnd(AttemptEnd end) {
        boolean fails = failsNextEnd;
        failsNextEnd = false;
        failedEnds += fails ? 1 : 0;
        return fails ? new AttemptEnd(end.kind(), end.status(), end.fields(), end.body(), null, end.detail()) : end;
    }

    private final class Calls implements EngineCalls {
        @Override
        public Optional<PlatformFault> connect(BackendServer server, long timeoutMillis) {
            return connectFaults.apply(server);
        }

        @Override
        public Optional<PlatformFault> askForLife(BackendServer server, String healthPath, long timeoutMillis) {
            return reportFaults.apply(server);
        }

        @Override
        public Either<PlatformFault, EngineReport> report(BackendServer engine) {
            return report(engine, 0);
        }

        @Override
        public Either<PlatformFault, EngineReport> report(BackendServer engine, long timeoutMillis) {
            return reportFaults
                    .apply(engine)
                    .<Either<PlatformFault, EngineReport>>map(Either::left)
                    .orElseGet(() -> Either.right(
                            new EngineReport(Optional.empty(), false, 0, 1, 0, 0, 0, engine.layers(), List.of())));
        }

        @Override
        public Either<MoveFault, byte[]> repath(BackendServer first, String requestId, StagePath path) {
            RepathOrder order = new RepathOrder(first, requestId, path);
            repathOrders.add(order);
            return repathAnswer.answer(order);
        }
    }

    private void submit(Runnable call) {
        if (engineCallsRejected) {
            throw new RejectedExecutionException("the queue is full");
        }
        engineCalls.add(call);
    }

    long now() {
        return now;
    }

    /** The requests that the router has sent, in order. */
    List<FakeHttpClient.Call> calls() {
        return http.calls();
    }

    /** The HTTP client that sends the requests. */
    FakeHttpClient http() {
        return http;
    }

    /** The update to the peers as of the last tick. */
    PeerUpdate peerUpdate() {
        return router.peerUpdates().currentUpdate();
    }

    /** Passes statuses of gateways between the updates and the capacity monitor. */
    CapacityExchange capacity() {
        return router.peerUpdates().capacity();
    }

    /** The router's state of the servers and the peers. */
    FleetState fleet() {
        return router.peerUpdates().fleet();
    }

    /** Number of logged lines that contain a text; called once, at the end of a test. */
    long linesWith(String text) {
        return logLines().stream().filter(line -> line.contains(text)).count();
    }

    /** The logged lines; called once, at the end of a test. */
    List<String> logLines() {
        log.start();
        log.stop();
        return logged.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** The orders to move requests that engines have received, in order. */
    List<RepathOrder> repathOrders() {
        return repathOrders;
    }

    /** Sets how engines answer orders to move requests from now on. */
    void setRepathAnswer(RepathAnswer answer) {
        repathAnswer = answer;
    }

    /** Lets no engine answer requests for its report from now on. */
    void silenceEngines() {
        setReportFaults(engine -> Optional.of(MoveAnswers.NO_ANSWER));
    }

    /** Sets which engines do not answer requests for their reports, and how; the function may throw as a call may. */
    void setReportFaults(Function<BackendServer, Optional<PlatformFault>> faults) {
        reportFaults = faults;
    }

    /**
     * Sets which servers do not accept connections, and why; unless it is called, those that do not answer requests for
     * their reports. A relay in front of a server accepts connections also when the server is gone.
     */
    void setConnectFaults(Function<BackendServer, Optional<PlatformFault>> faults) {
        connectFaults = faults;
    }

    /** Sets whether calls to engines are rejected because too many are queued. */
    void setEngineCallsRejected(boolean rejected) {
        engineCallsRejected = rejected;
    }

    /** Puts a version of the configuration in force. */
    void publish(StandInConfig version) {
        String urgent = "\"routes\":[" + PriorityAdmissionTest.URGENT_ROUTE;
        publish(priorities ? version.json().replace("\"routes\":[", urgent) : version.json());
    }

    /** Puts a configuration record in force. */
    void publish(String json) {
        byte[] source = json.getBytes(StandardCharsets.UTF_8);
        config.offer(ConfigDecoder.decode(source).get(), source);
    }

    /** Creates an engine of a half of the model, or of the whole. */
    static BackendServer engine(String id, int port, int from, int to) {
        return engine(id, port, "dc1", from, to);
    }

    /** Creates an engine in a data centre; the gateway runs in dc1. */
    static BackendServer engine(String id, int port, String dataCentre, int from, int to) {
        return TestServers.engine(
                id, new HostPort("127.0.0.1", port), dataCentre, Optional.of(new LayerRange(from, to, LAYERS)));
    }

    /** Registers a server, also in another state than before. */
    void register(BackendServer server) {
        offset++;
        handle(new RouterEvent.RegistrationsRead(
                List.of(new ServerRegistry.Registration(offset, server.name(), Optional.of(server))),
                false,
                offset,
                0));
    }

    /** Removes the registration of a server. */
    void unregister(BackendServer server) {
        offset++;
        handle(new RouterEvent.RegistrationsRead(
                List.of(new ServerRegistry.Registration(offset, server.name(), Optional.empty())), false, offset, 0));
    }

    /** The route of a path. */
    Route route(String path) {
        return config.current().get().route("127.0.0.1", path).get();
    }

    /** Sends a client's request. */
    FakeClient request(String path, String id) {
        if (priorities) {
            boolean urgent = path.startsWith("/chat/") && Math.floorMod(id.hashCode(), 3) == 0;
            return request(urgent ? "/urgent/a" : path, HeaderFixtures.authorised(id), new byte[0]);
        }
        FakeClient client = new FakeClient(route(path), id, now);
        handle(new RouterEvent.RequestReceived(client.exchange()));
        return client;
    }

    /** Sends a client's request with this path and body. */
    FakeClient request(String path, String id, byte[] body) {
        FakeClient client = new FakeClient(route(path), id, path, body, now);
        handle(new RouterEvent.RequestReceived(client.exchange()));
        return client;
    }

    /** Sends a client's request with this path, these headers, which may include a key, and this body. */
    FakeClient request(String path, HttpFields fields, byte[] body) {
        Optional<RoutingConfig.Organisation> keyHolder =
                RequestHead.decode(fields).key().flatMap(config.current().get()::organisation);
        FakeClient client = new FakeClient(route(path), keyHolder, fields, path, body, now);
        handle(new RouterEvent.RequestReceived(client.exchange()));
        return client;
    }

    /** Sends a client's request for the events of a stream after one that it has. */
    FakeClient resume(String path, String id, long lastEventId) {
        FakeClient client = FakeClient.resuming(route(path), id, lastEventId, now);
        handle(new RouterEvent.RequestReceived(client.exchange()));
        return client;
    }

    /** Hands an event to the router at once, before the queued ones. */
    void handle(RouterEvent event) {
        router.handle(event, now);
    }

    /** Number of events that wait for the router. */
    int queued() {
        return queue.size();
    }

    /** Removes the next event from the router's queue without handling it. */
    RouterEvent takeEvent() {
        return queue.poll();
    }

    /** Hands the next queued event to the router; false if there is none. */
    boolean handleNext() {
        RouterEvent event = queue.poll();
        if (event != null) {
            router.handle(event, now);
        }
        return event != null;
    }

    /** Runs the next queued call to an engine; false if there is none. */
    boolean runEngineCall() {
        Runnable call = engineCalls.poll();
        if (call != null) {
            Thread.currentThread().interrupt(); // the second call of a probe does not wait for the first
            call.run();
            var unused = Thread.interrupted();
        }
        return call != null;
    }

    /** Runs all queued engine calls and events, including those that follow from them. */
    void settle() {
        while (runEngineCall() || handleNext()) {
            // until nothing is queued
        }
    }

    /** Lets time pass without a tick of the router. */
    void pass(long millis) {
        now += millis;
    }

    /** Lets time pass up to the next tick of the router, without running what is queued. */
    void tick() {
        now += RequestRouter.TICK_MILLIS;
        router.tick(now);
    }

    /** Lets time pass with ticks; runs what is queued after each. */
    void run(long millis) {
        for (long end = now + millis; now < end; ) {
            tick();
            settle();
        }
    }

    /** Lets the process stop, so that it ends after the given time; the balancer knows already. */
    void stopWithin(long millis) {
        router.shutdownPolicy().begin(new ShutdownPeriod(now, now, now + millis));
    }

    /** Number of exceptions in the router's work; a router in production logs them and goes on. */
    long exceptions() {
        return router.exceptionCount();
    }

    /** Number of requests in progress. */
    int activeRequests() {
        return router.activeRequestCount();
    }
}
