package org.cornelramp.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

/**
 * The gateways of one or more data centres, in steps of 100 ms: connections are spread by hash, the balancer asks for
 * readiness each second, and statuses reach each peer every 600 ms, unless they are lost or late.
 */
final class FakeGateways {
    static final long STEP_MILLIS = 100;
    static final int CONNECTIONS = 30;

    /** A client reconnects after this time on average, also without being asked to. */
    private static final double CONNECTION_LIFE_MILLIS = 60_000;

    private static final double REQUEST_CORE_MILLIS = 2;
    private static final double CONNECT_CORE_MILLIS = 1;
    private static final int MAX_DELAY_MILLIS = 2_000;

    final List<One> all = new ArrayList<>();
    private final List<Message> onTheWay = new ArrayList<>();
    private final Random random;
    boolean closing = true;
    boolean leaving = true;
    double demand = 0.6;
    double lossShare;
    int latestMillis = 100;
    long now;
    double lostSeconds;
    long closes;
    int mostAway;

    /** One gateway. */
    final class One {
        final String name;
        final int dataCentre;
        final double cores;
        final List<Long> unreadyAt = new ArrayList<>();
        final Map<String, Received> received = new HashMap<>();
        CapacityController controller;
        GatewayLoadMeter meter;
        boolean killed;
        boolean partitioned;
        long suspendedUntil;
        int connections;
        double backlog;
        double used;
        int misses;

        One(int number, int dataCentre, double cores) {
            this.name = "g" + number;
            this.dataCentre = dataCentre;
            this.cores = cores;
            start();
        }

        void start() {
            controller = new CapacityController(name, cores, now);
            meter = new GatewayLoadMeter(cores);
            received.clear();
        }

        boolean runs() {
            return !killed && now >= suspendedUntil;
        }

        boolean isReady() {
            return controller.decision().isReady(now);
        }

        double delay() {
            return Math.min(MAX_DELAY_MILLIS, backlog / cores);
        }

        void serve(double requests) {
            lostSeconds += requests * delay() / 1_000;
            backlog = Math.min(backlog + requests * REQUEST_CORE_MILLIS, MAX_DELAY_MILLIS * cores);
            double done = Math.min(backlog, cores * STEP_MILLIS);
            backlog -= done;
            used += done;
            double share = closing ? controller.decision().closeShare(now) : 0;
            double leaving = requests * share + connections * STEP_MILLIS / CONNECTION_LIFE_MILLIS;
            int left = Math.min(connections, (int) (leaving + random.nextDouble()));
            closes += Math.min(left, Math.round(requests * share));
            connections -= left;
            connect(dataCentre, left);
        }

        void update() {
            List<PeerStatus> peers = new ArrayList<>();
            received.forEach((peer, one) -> peers.add(new PeerStatus(peer, one.status(), now - one.at())));
            var measured = new GatewayLoadMeter.Measurement((long) (used * 1e6), (long) delay(), connections, now);
            controller.update(meter.record(measured), peers, now);
        }
    }

    private record Received(GatewayStatus status, long at) {}

    private record Message(One to, String from, GatewayStatus status, long at) {}

    FakeGateways(long seed, int dataCentres, double[] cores) {
        this.random = new Random(seed);
        for (int i = 0; i < cores.length; i++) {
            all.add(new One(i, i % dataCentres, cores[i]));
        }
        for (One gateway : all) {
            connect(gateway.dataCentre, CONNECTIONS);
        }
    }

    Stream<One> of(int dataCentre) {
        return all.stream().filter(one -> one.dataCentre == dataCentre);
    }

    private void connect(int dataCentre, int count) {
        List<One> in = of(dataCentre).filter(one -> one.misses < 2).toList();
        boolean all = 2L * in.size() < of(dataCentre).count();
        List<One> used = all ? of(dataCentre).toList() : in;
        for (int i = 0; i < count; i++) {
            One one = used.get(random.nextInt(used.size()));
            one.connections++;
            one.backlog += CONNECT_CORE_MILLIS;
        }
    }

    void run(long millis) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            step();
        }
    }

    private void step() {
        double wave = 1 + 0.55 * Math.sin(2 * Math.PI * now / 15_000);
        double cores = all.stream().mapToDouble(one -> one.cores).sum();
        double perConnection = demand * wave * cores * STEP_MILLIS / REQUEST_CORE_MILLIS / all.size() / CONNECTIONS;
        onTheWay.removeIf(this::deliver);
        for (int i = 0; i < all.size(); i++) {
            One one = all.get(i);
            if (now % 1_000 == i % 10 * STEP_MILLIS) {
                one.misses = one.runs() && (!leaving || one.isReady()) ? 0 : one.misses + 1;
            }
            if (!one.runs()) {
                continue;
            }
            one.serve(one.connections * perConnection);
            if (now % 500 == i % 5 * STEP_MILLIS) {
                one.update();
            }
            of(one.dataCentre).filter(peer -> peer != one).forEach(peer -> send(one, peer));
            if (!one.isReady()) {
                one.unreadyAt.add(now);
            }
        }
        for (int dc = 0; dc < 3; dc++) {
            int away = (int) of(dc).filter(one -> !one.runs() || !one.isReady()).count();
            mostAway = Math.max(mostAway, away);
        }
    }

    /** A late status may arrive after a later one, and replaces it. */
    private boolean deliver(Message message) {
        boolean arrived = now >= message.at() && now >= message.to().suspendedUntil;
        if (arrived) {
            message.to().received.put(message.from(), new Received(message.status(), now));
        }
        return arrived;
    }

    private void send(One from, One to) {
        boolean lost = from.partitioned || to.partitioned || random.nextDouble() < lossShare;
        boolean hasTurn = (now / STEP_MILLIS + all.indexOf(from) + all.indexOf(to)) % 6 == 0;
        if (hasTurn && !lost) {
            GatewayStatus status = from.controller.decision().status(true);
            onTheWay.add(new Message(to, from.name, status, now + 1 + random.nextInt(latestMillis)));
        }
    }

    /** The first violation of the bounds on the time of one gateway; empty if there is none. */
    Optional<String> overlongUnreadiness() {
        return all.stream()
                .filter(FakeGateways::isOverlong)
                .map(one -> one.name)
                .findFirst();
    }

    private static boolean isOverlong(One one) {
        return one.unreadyAt.stream().anyMatch(from -> within(one.unreadyAt, from) * STEP_MILLIS > 4_000);
    }

    private static long within(Collection<Long> times, long from) {
        return times.stream().filter(at -> at >= from && at < from + 40_000).count();
    }
}
