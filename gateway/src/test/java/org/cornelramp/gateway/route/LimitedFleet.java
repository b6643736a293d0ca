package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;

/**
 * Several gateways in front of one engine that limits the requests that it takes from all of them together, and
 * optionally of others without a limit. Counts the arrivals at the limited engine as the engine would. Used by one
 * thread.
 */
final class LimitedFleet {
    /** Time from the first naming of a limit until it must be kept. */
    static final long SETTLE_MILLIS = 3_000;

    /** Length of the windows in which arrivals are counted. */
    static final long WINDOW_MILLIS = 4_000;

    /** Time from an answer that names a limit until its gateway must keep the limit. */
    private static final long REACTION_MILLIS = 500;

    private static final int LIMITED_PORT = 11;
    private static final BackendServer LIMITED = RouterSimulation.engine("a1", LIMITED_PORT, 0, 8);
    private static final BackendServer OTHER = RouterSimulation.engine("b1", 12, "dc2", 0, 8);

    private final Map<String, Gateway> gateways = new LinkedHashMap<>();
    private final SplittableRandom random;

    /** When requests have reached the limited engine from gateways that had been told its limit. */
    private final List<Long> arrivals = new ArrayList<>();

    private final boolean hasOther;
    private BackendServer limited = LIMITED;
    private Optional<String> limit = Optional.empty();
    private double updateLoss;
    private long now = 1_000;
    private long answered;
    private long refused;
    private long restarts;

    private static final class Gateway {
        private final RouterSimulation router;
        private int nextPeer;
        private int handled;
        private int requests;
        private long nextUpdateMillis;
        private long toldMillis = Long.MAX_VALUE;

        Gateway(RouterSimulation router, long firstUpdateMillis) {
            this.router = router;
            this.nextUpdateMillis = firstUpdateMillis;
        }
    }

    /** @param hasOther whether another engine, without a limit, holds the model as well */
    LimitedFleet(int gatewayCount, boolean hasOther, long seed) {
        this.random = new SplittableRandom(seed);
        this.hasOther = hasOther;
        for (int i = 1; i <= gatewayCount; i++) {
            start("g" + i);
        }
    }

    private void start(String name) {
        RouterSimulation router = new RouterSimulation(
                name,
                StandInConfig.small(1),
                GatewayFixture.MANY_RETRIES,
                random.split().nextLong());
        router.pass(now - router.now());
        router.register(limited);
        if (hasOther) {
            router.register(OTHER);
        }
        gateways.put(name, new Gateway(router, now + random.nextInt(PeerRotation.ROUND_MILLIS)));
    }

    /** Replaces a gateway by a new process of the same name, which knows nothing. */
    void restartGateway(int index) {
        String name = List.copyOf(gateways.keySet()).get(index % gateways.size());
        restarts++;
        start(name);
    }

    /** Ends a gateway. */
    void stopGateway(int index) {
        if (gateways.size() > 1) {
            gateways.remove(List.copyOf(gateways.keySet()).get(index % gateways.size()));
        }
    }

    /** Adds a gateway. */
    void addGateway() {
        start("n" + restarts + "-" + gateways.size());
        restarts++;
    }

    /** Sets the limit that the engine names in its answers from now on; empty for none. */
    void setLimit(Optional<String> requestsPerSecond) {
        limit = requestsPerSecond;
    }

    /** Lets the limited engine start again as another incarnation. */
    void restartEngine() {
        restarts++;
        limited = TestServers.incarnation(LIMITED, "a1-" + restarts);
        gateways.values().forEach(gateway -> gateway.router.register(limited));
    }

    /** Sets the share of the updates between gateways that are lost from now on. */
    void setUpdateLoss(double share) {
        updateLoss = share;
    }

    /** Lets time pass; each gateway gets that many requests per second on average. */
    void run(long millis, double requestsPerSecond) {
        for (long end = now + millis; now < end; ) {
            now += RequestRouter.TICK_MILLIS;
            for (Gateway gateway : List.copyOf(gateways.values())) {
                gateway.router.tick();
                if (random.nextDouble() < requestsPerSecond * RequestRouter.TICK_MILLIS / 1_000) {
                    request(gateway);
                }
                serve(gateway);
                sendUpdates(gateway);
            }
        }
    }

    private void request(Gateway gateway) {
        gateway.requests++;
        FakeClient client = gateway.router.request("/chat/a", "r" + gateway.requests);
        refused += client.status() == 503 ? 1 : 0;
    }

    private void serve(Gateway gateway) {
        gateway.router.settle();
        while (gateway.handled < gateway.router.calls().size()) {
            FakeHttpClient.Call call = gateway.router.calls().get(gateway.handled++);
            String id = HeaderFixtures.requestId(call::header);
            boolean isLimited = call.port() == LIMITED_PORT;
            if (isLimited && now - gateway.toldMillis >= REACTION_MILLIS) {
                arrivals.add(now);
            }
            HttpFields fields = HeaderFixtures.answer(id);
            call.stream(isLimited ? limited(fields) : fields);
            answered++;
            if (isLimited && limit.isPresent()) {
                gateway.toldMillis = Math.min(now, gateway.toldMillis);
            }
            gateway.router.settle();
        }
    }

    private HttpFields limited(HttpFields fields) {
        return limit.map(value -> HeaderFixtures.limiting(value, fields)).orElse(fields);
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
            if (random.nextDouble() >= updateLoss) {
                peer.router.handle(new RouterEvent.PeerUpdateReceived(update));
            }
        }
    }

    long now() {
        return now;
    }

    /** Number of answers of all engines so far. */
    long answered() {
        return answered;
    }

    /** Number of requests that were refused at once so far. */
    long refused() {
        return refused;
    }

    /** Number of arrivals from gateways that knew the limit, from a time on. */
    long arrivalsSince(long millis) {
        return arrivals.stream().filter(at -> at >= millis).count();
    }

    /** Most arrivals in a window that begins within a span of time and ends by its end. */
    long mostArrivals(long from, long to) {
        return arrivals.stream()
                .filter(start -> start >= from)
                .mapToLong(start -> arrivals.stream()
                        .filter(at -> at >= start && at <= Math.min(start + WINDOW_MILLIS, to))
                        .count())
                .max()
                .orElse(0);
    }

    /** Most arrivals that a limit allows in a window: one and a half times its rate, and five requests. */
    static double allowed(double requestsPerSecond) {
        return 1.5 * requestsPerSecond * WINDOW_MILLIS / 1_000 + 5;
    }
}
