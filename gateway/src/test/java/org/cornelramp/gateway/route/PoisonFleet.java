package org.cornelramp.gateway.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;

/**
 * Several gateways in simulated time in front of engines and plain servers, of which some crash, and callers of whom some
 * send a request that crashes each server which runs it, again and again. Counts what reaches the servers as the users do.
 * Used by one thread.
 */
final class PoisonFleet {
    /** Crashes after which a request must reach hardly any servers. */
    static final int CRASHES = 3;

    /** Crashes after which requests with a part of a prompt must reach hardly any servers. */
    static final int PART_CRASHES = 5;

    /** Time without a fault after which a gateway counts, and from the last of these crashes on. */
    static final long STABLE_MILLIS = 3_000;

    /** Text of the answer to a request that is refused because servers have crashed under it. */
    private static final String SET_ASIDE = "crashed while they ran";

    private static final int FIRST_PORT = 11;

    private final SplittableRandom random;

    /** Of its own, so that a history is the same with and without failures up to the first of them. */
    private final SplittableRandom failureRandom;

    private final Map<String, Gateway> gateways = new LinkedHashMap<>();
    private final List<CrashingServer> servers = new ArrayList<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMillis).thenComparingLong(Scheduled::number));
    private final Map<String, BackendServer> registered = new LinkedHashMap<>();
    private final List<Poison> poisons = new ArrayList<>();
    private final SoundRequests innocents = new SoundRequests();
    private Gateway sending;
    private double updateLoss;
    private long updateDelayMillis;
    private long now = 1_000;
    private long scheduledCount;
    private int requestCount;
    private int restarts;
    private boolean relayed;
    private RunFailures failures = RunFailures.NONE;
    private Optional<String> config = Optional.empty();

    private record Scheduled(long atMillis, long number, Runnable action) {}

    /** A kind of request that a caller sends. */
    enum Kind {
        STREAM("/chat/"),
        IDEMPOTENT("/look/"),
        NON_IDEMPOTENT("/book/");

        private final String prefix;

        Kind(String prefix) {
            this.prefix = prefix;
        }
    }

    /** A request, or a part of prompts, that crashes each server which runs it, and what the servers have seen of it. */
    static final class Poison {
        private final Kind kind;
        private final String content;
        private final int eventsBeforeCrash;
        private final int limit;
        private final List<Long> crashMillis = new ArrayList<>();
        private int lateArrivals;
        private FakeClient last;

        private Poison(Kind kind, String content, int eventsBeforeCrash, int limit) {
            this.kind = kind;
            this.content = content;
            this.eventsBeforeCrash = eventsBeforeCrash;
            this.limit = limit;
        }

        /** The part of the prompt, or the request. */
        String content() {
            return content;
        }

        int eventsBeforeCrash() {
            return eventsBeforeCrash;
        }

        /** Number of servers that have crashed under it. */
        int crashes() {
            return crashMillis.size();
        }

        /** When a server has crashed under it for the first time. */
        long firstCrashMillis() {
            return crashMillis.get(0);
        }

        /** When the last crash that is allowed has happened; the last one if there were fewer. */
        long limitMillis() {
            return crashMillis.get(Math.min(limit, crashMillis.size()) - 1);
        }

        /** Number of times that gateways in touch have sent it to a server too late. */
        int lateArrivals() {
            return lateArrivals;
        }

        /** The answer to the last of these requests. */
        FakeClient last() {
            return last;
        }

        @Override
        public String toString() {
            return kind + " " + content + ": " + crashes() + " crashes, " + lateArrivals + " sends later";
        }
    }

    private static final class Gateway {
        private final RouterSimulation router;
        private final Map<String, SimulatedCaller> callers = new HashMap<>();
        private final List<Consumer<RouterSimulation>> missed = new ArrayList<>();
        private int handled;
        private int nextPeer;
        private long nextUpdateMillis;
        private long undisturbedSince;
        private long cutUntil;

        Gateway(RouterSimulation router, long nextUpdateMillis, long undisturbedSince) {
            this.router = router;
            this.nextUpdateMillis = nextUpdateMillis;
            this.undisturbedSince = undisturbedSince;
        }
    }

    PoisonFleet(int gatewayCount, int engines, int plainServers, long seed) {
        random = new SplittableRandom(seed);
        failureRandom = new SplittableRandom(~seed);
        for (int i = 0; i < engines + plainServers; i++) {
            servers.add(new CrashingServer(this, "s" + i, FIRST_PORT + i, i < engines));
        }
        for (int i = 1; i <= gatewayCount; i++) {
            start("g" + i, now - STABLE_MILLIS);
        }
    }

    private void start(String name, long undisturbedSince) {
        RouterSimulation router = new RouterSimulation(
                name,
                StandInConfig.small(1),
                GatewayFixture.MANY_RETRIES,
                random.split().nextLong());
        router.pass(now - router.now());
        registered.values().forEach(router::register);
        router.setReportFaults(server -> serverAt(server.address().port()).faultOf(server));
        router.setConnectFaults(server -> serverAt(server.address().port()).connectFault());
        config.ifPresent(router::publish);
        gateways.put(name, new Gateway(router, now + random.nextInt(PeerRotation.ROUND_MILLIS), undisturbedSince));
    }

    private CrashingServer serverAt(int port) {
        return servers.get(port - FIRST_PORT);
    }

    private Gateway gateway(int index) {
        return List.copyOf(gateways.values()).get(index % gateways.size());
    }

    long now() {
        return now;
    }

    int gatewayCount() {
        return gateways.size();
    }

    /** Puts relays in front of the servers, which accept connections and close them while the server behind is gone. */
    void setRelayed(boolean relayed) {
        this.relayed = relayed;
    }

    boolean isRelayed() {
        return relayed;
    }

    /** Sets how servers answer the requests that begin to run from now on. */
    void setFailures(RunFailures given) {
        failures = given;
    }

    int nextFailureStatus() {
        return failures.nextStatus(failureRandom);
    }

    int nextFailureDelayMillis() {
        return failures.nextDelayMillis(failureRandom);
    }

    boolean isNextUnframed() {
        return failures.isNextUnframed(failureRandom);
    }

    /** Puts a configuration record in force at all gateways. */
    void publish(String json) {
        config = Optional.of(json);
        gateways.values().forEach(gateway -> gateway.router.publish(json));
    }

    /** Time until an engine has read a prompt. */
    long promptMillis() {
        return 40L + random.nextInt(200);
    }

    /** Time until a server that has crashed listens again. */
    long downMillis() {
        return 1_200L + random.nextInt(2_200);
    }

    void schedule(long afterMillis, Runnable action) {
        scheduled.add(new Scheduled(now + afterMillis, scheduledCount++, action));
    }

    void register(BackendServer server) {
        registered.put(server.name().value(), server);
        tellAll(router -> router.register(server));
    }

    void unregister(BackendServer server) {
        registered.remove(server.name().value());
        tellAll(router -> router.unregister(server));
    }

    private void tellAll(Consumer<RouterSimulation> news) {
        for (Gateway gateway : gateways.values()) {
            if (now < gateway.cutUntil) {
                gateway.missed.add(news);
            } else {
                news.accept(gateway.router);
            }
        }
    }

    /** Adds a request that crashes its servers; it is sent by {@link #send} and {@link #repeat}. */
    Poison addPoison(Kind kind, int eventsBeforeCrash) {
        Poison poison = new Poison(kind, "poison" + poisons.size(), eventsBeforeCrash, CRASHES);
        poisons.add(poison);
        return poison;
    }

    /** Adds a part of prompts that crashes the servers; {@link #sendStream} sends it. */
    Poison addPoisonPart(String part, int eventsBeforeCrash) {
        Poison poison = new Poison(Kind.STREAM, part, eventsBeforeCrash, PART_CRASHES);
        poisons.add(poison);
        return poison;
    }

    List<Poison> poisons() {
        return poisons;
    }

    /** Sends a poison request to a gateway. */
    FakeClient send(Poison poison, int gateway) {
        poison.last = request(gateway(gateway), poison.kind, poison.content, new SimulatedCaller(List.of(poison)));
        return poison.last;
    }

    /** Sends a poison request again some time after each answer to it, each time to another gateway. */
    void repeat(Poison poison, long pauseMillis) {
        repeat(poison, pauseMillis, () -> send(poison, random.nextInt(gateways.size())));
    }

    /** Does the same with a stream that has a prompt of several parts. */
    void repeatStream(Poison poison, String prompt, long pauseMillis) {
        List<Poison> poisonous = List.of(poison);
        repeat(
                poison,
                pauseMillis,
                () -> sendStream(random.nextInt(gateways.size()), poison.content, prompt, poisonous));
    }

    private void repeat(Poison poison, long pauseMillis, Runnable send) {
        boolean ended = poison.last == null || poison.last.exchange().isEnded();
        if (ended) {
            send.run();
        }
        schedule(ended ? pauseMillis : RequestRouter.TICK_MILLIS, () -> repeat(poison, pauseMillis, send));
    }

    private FakeClient request(Gateway gateway, Kind kind, String content, SimulatedCaller caller) {
        String id = "r" + requestCount++;
        gateway.callers.put(id, caller);
        return gateway.router.request(kind.prefix + content, id, content.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a stream to a gateway.
     *
     * @param content the body, and the last part of the path
     * @param prompt the parts of the prompt; empty if the request names none
     * @param poisons what crashes servers in it
     */
    FakeClient sendStream(int index, String content, String prompt, List<Poison> poisons) {
        Gateway gateway = gateway(index);
        String id = "r" + requestCount++;
        gateway.callers.put(id, new SimulatedCaller(poisons));
        HttpFields plain = HeaderFixtures.request(id);
        FakeClient client = gateway.router.request(
                Kind.STREAM.prefix + content,
                prompt.isEmpty() ? plain : HeaderFixtures.prompting(prompt, plain),
                content.getBytes(StandardCharsets.UTF_8));
        poisons.forEach(poison -> poison.last = client);
        if (poisons.isEmpty()) {
            innocents.add(client, true, now, isInTouch(gateway));
        }
        return client;
    }

    private boolean isInTouch(Gateway gateway) {
        return gateway.undisturbedSince + STABLE_MILLIS <= now;
    }

    /** Lets a server crash that no request has caused to. */
    void crashServer(int index) {
        servers.get(index % servers.size()).crash(downMillis());
    }

    /** Lets a server lose its connections and be silent for a time without a crash. */
    void interruptServer(int index, long forMillis) {
        servers.get(index % servers.size()).interrupt(forMillis);
    }

    /** Replaces a gateway by a new process of the same name, which knows nothing. */
    void restartGateway(int index) {
        String name = List.copyOf(gateways.keySet()).get(index % gateways.size());
        restarts++;
        start(name, now);
    }

    /** Adds a gateway. */
    int addGateway() {
        start("n" + restarts++, now);
        return gateways.size() - 1;
    }

    /** Cuts a gateway off from its peers and the store. */
    void cutGateway(int index, long forMillis) {
        Gateway gateway = gateway(index);
        gateway.cutUntil = now + forMillis;
        gateway.undisturbedSince = now + forMillis;
        schedule(forMillis, () -> {
            gateway.missed.forEach(news -> news.accept(gateway.router));
            gateway.missed.clear();
        });
    }

    /** Sets the share of the updates between gateways that are lost from now on. */
    void setUpdateLoss(double share) {
        updateLoss = share;
    }

    /** Sets how late updates between gateways arrive from now on, at most. */
    void setUpdateDelay(long millis) {
        updateDelayMillis = millis;
    }

    void recordCrash(Poison poison) {
        poison.crashMillis.add(now);
    }

    /** Records that a poison request has reached a server. */
    void recordArrival(Poison poison) {
        boolean late = poison.crashes() >= poison.limit && now - poison.limitMillis() > STABLE_MILLIS;
        if (late && isInTouch(sending)) {
            poison.lateArrivals++;
        }
    }

    /** Lets time pass; each gateway gets that many other requests per second on average. */
    void run(long millis, double requestsPerSecond) {
        for (long end = now + millis; now < end; ) {
            now += RequestRouter.TICK_MILLIS;
            gateways.values().forEach(gateway -> gateway.router.tick());
            while (!scheduled.isEmpty() && scheduled.peek().atMillis() <= now) {
                scheduled.poll().action().run();
            }
            for (Gateway gateway : List.copyOf(gateways.values())) {
                if (random.nextDouble() < requestsPerSecond * RequestRouter.TICK_MILLIS / 1_000) {
                    sendInnocent(gateway);
                }
            }
            serveAll();
            servers.forEach(CrashingServer::work);
            serveAll();
            List.copyOf(gateways.values()).forEach(this::sendUpdates);
        }
    }

    private void sendInnocent(Gateway gateway) {
        Kind[] kinds = {Kind.STREAM, Kind.STREAM, Kind.IDEMPOTENT, Kind.NON_IDEMPOTENT};
        Kind kind = kinds[random.nextInt(kinds.length)];
        sendInnocent(gateway, kind, "innocent" + requestCount, Optional.empty());
    }

    private void sendInnocent(Gateway gateway, Kind kind, String content, Optional<Integer> status) {
        FakeClient client = request(gateway, kind, content, new SimulatedCaller(List.of(), status));
        innocents.add(client, kind == Kind.STREAM, now, isInTouch(gateway));
    }

    /**
     * Sends a request that crashes no server again and again, each time to a gateway drawn by lot.
     *
     * @param status status with which each server answers it; empty if that depends on the server
     */
    void repeatInnocent(Kind kind, String content, Optional<Integer> status, long pauseMillis) {
        sendInnocent(gateway(failureRandom.nextInt(gateways.size())), kind, content, status);
        schedule(pauseMillis, () -> repeatInnocent(kind, content, status, pauseMillis));
    }

    private void serveAll() {
        gateways.values().forEach(this::serve);
    }

    private void serve(Gateway gateway) {
        gateway.router.settle();
        sending = gateway;
        while (gateway.handled < gateway.router.calls().size()) {
            FakeHttpClient.Call call = gateway.router.calls().get(gateway.handled++);
            SimulatedCaller caller = gateway.callers.get(HeaderFixtures.requestId(call::header));
            serverAt(call.port()).receive(call, HeaderFixtures.expectedServer(call::header), caller);
            gateway.router.settle();
        }
    }

    private void sendUpdates(Gateway sender) {
        if (now < sender.nextUpdateMillis) {
            return;
        }
        sender.nextUpdateMillis += PeerRotation.ROUND_MILLIS;
        List<Gateway> peers =
                gateways.values().stream().filter(peer -> peer != sender).toList();
        PeerUpdate update = sender.router.peerUpdate();
        for (int i = 0; i < Math.min(PeerRotation.MAX_PEERS_PER_ROUND, peers.size()); i++) {
            Gateway peer = peers.get(sender.nextPeer++ % peers.size());
            boolean lost = now < sender.cutUntil || now < peer.cutUntil || random.nextDouble() < updateLoss;
            if (!lost) {
                long delay = updateDelayMillis == 0 ? 0 : random.nextLong(updateDelayMillis);
                schedule(delay, () -> peer.router.handle(new RouterEvent.PeerUpdateReceived(update)));
            }
        }
    }

    /** The requests of other callers. */
    SoundRequests innocents() {
        return innocents;
    }

    /** Number of requests of other callers that were refused because servers have crashed under them. */
    long innocentsSetAside() {
        return innocents.setAside();
    }

    /** Whether the router of no gateway has thrown an exception. */
    boolean hasNoExceptions() {
        return gateways.values().stream().allMatch(gateway -> gateway.router.exceptions() == 0);
    }

    /** Whether the last answer to a poison request says that servers have crashed under it. */
    static boolean isSetAside(FakeClient client) {
        return client.received().contains(SET_ASIDE);
    }
}
