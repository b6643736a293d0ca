package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;

/**
 * Gateways that share three plain servers of six slots, which shed when full. A gateway learns the in-flight requests of
 * each peer every 600 ms. Used by one thread.
 */
final class PlainFleet {
    static final int GATEWAYS = 41;
    static final int SLOTS = 6;
    static final long TARGET_MILLIS = 142;
    private static final DataCentre HOME = new DataCentre("dc1");

    /** Interval at which a gateway sends an update, each time to the next eight peers. */
    static final long ROUND_MILLIS = 120;

    private static final int PEERS_PER_ROUND = 8;
    private static final long ROUND_TRIP_MILLIS = 2;
    private static final long RETRY_MILLIS = 60;
    private static final int MAX_ATTEMPTS = 6;

    /** How the servers behave at a time. */
    interface Behaviour {
        double slowdown(int server, long now);

        default double failures(int server) {
            return 0;
        }
    }

    /**
     * Where gateways and servers are, and how long the servers take.
     *
     * @param dataCentres number of data centres, over which the servers are spread in turn
     * @param gatewayDataCentres number of data centres over which the gateways are spread in turn
     * @param wayMillis time of a message from one data centre to another
     * @param baseMillis mean time for which a server works on a request
     * @param varied whether that time is exponentially distributed, else within a fifth of the mean
     */
    record Layout(int dataCentres, int gatewayDataCentres, long wayMillis, int baseMillis, boolean varied) {
        static final Layout ONE_DATA_CENTRE = new Layout(1, 1, 0, 60, false);

        DataCentre ofServer(int server) {
            return new DataCentre("dc" + (1 + server % dataCentres));
        }

        DataCentre ofGateway(int gateway) {
            return new DataCentre("dc" + (1 + gateway % gatewayDataCentres));
        }

        long roundTripMillis(int gateway, int server) {
            return ROUND_TRIP_MILLIS + (ofGateway(gateway).equals(ofServer(server)) ? 0 : 2 * wayMillis);
        }
    }

    private record Event(long at, long number, Runnable action) {}

    private static final class Gateway {
        private final PlainServerStats stats = new PlainServerStats();
        private final PlainServerSelector today = new PlainServerSelector(stats);
        private final SharedServerSelector shared = new SharedServerSelector(stats);
        private final int[][] peers = new int[GATEWAYS][];
    }

    private final List<BackendServer> servers = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final int[] running;
    private final int[] arrived;
    private final Behaviour behaviour;
    private final SplittableRandom random;

    /** Apart from the draws of the load, so that both selectors get the same requests with a seed. */
    private final SplittableRandom outcomes;

    private final boolean shared;
    private final Layout layout;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now;
    private long number;
    private int requests;
    private int onTime;
    private int perfectOnTime;
    private int sheds;
    private final long[][] freeAt;
    private final List<Long> latencies = new ArrayList<>();
    private final TreeMap<Long, int[]> arrivedByRound = new TreeMap<>();

    /** @param shared whether the selector for many gateways is used, else the one for few */
    PlainFleet(int serverCount, boolean shared, Behaviour behaviour, long seed) {
        this(Layout.ONE_DATA_CENTRE, serverCount, shared, behaviour, seed);
    }

    /** @param shared whether the selector for many gateways is used, else the one for few */
    PlainFleet(Layout layout, int serverCount, boolean shared, Behaviour behaviour, long seed) {
        this.layout = layout;
        this.shared = shared;
        this.behaviour = behaviour;
        this.random = new SplittableRandom(seed);
        this.outcomes = random.split();
        running = new int[serverCount];
        arrived = new int[serverCount];
        freeAt = new long[serverCount][SLOTS];
        for (int i = 0; i < serverCount; i++) {
            servers.add(server("p" + i, layout.ofServer(i)));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Gateway());
            int gateway = i;
            at(i * ROUND_MILLIS / GATEWAYS, () -> sendUpdates(gateway, gateway));
        }
    }

    /**
     * Figures of several runs together.
     *
     * @param goodput share of requests answered on time, in relation to one queue with complete knowledge
     * @param shedRate sheds for each request
     * @param medianMillis median time from the arrival of a request to its answer
     * @param lateShare share of the answered requests that were late
     * @param worstShare mean over the update intervals of the share of the server with most arrivals
     */
    record Totals(double goodput, double shedRate, double medianMillis, double lateShare, double worstShare) {
        @Override
        public String toString() {
            return "goodput %.3f, sheds %.4f, median %.2f ms, late %.4f, worst share %.2f"
                    .formatted(goodput, shedRate, medianMillis, lateShare, worstShare);
        }
    }

    /** Runs three servers for 60 s with each of the seeds from 1 on. */
    static Totals totals(Layout layout, boolean shared, Behaviour behaviour, int perSecond, int seeds) {
        List<PlainFleet> runs = LongStream.rangeClosed(1, seeds)
                .mapToObj(seed -> new PlainFleet(layout, 3, shared, behaviour, seed).run(60_000, time -> perSecond))
                .toList();
        List<Long> sorted =
                runs.stream().flatMap(run -> run.latencies.stream()).sorted().toList();
        double onTime = sum(runs, run -> run.onTime);
        return new Totals(
                onTime / sum(runs, run -> run.perfectOnTime),
                sum(runs, run -> run.sheds) / sum(runs, run -> run.requests),
                median(sorted),
                1 - onTime / sorted.size(),
                sum(runs, PlainFleet::worstShare) / seeds);
    }

    /** The median of sorted numbers, interpolated between the equal ones in the middle. */
    private static double median(List<Long> sorted) {
        long middle = sorted.get(sorted.size() / 2);
        int first = sorted.indexOf(middle);
        int count = sorted.lastIndexOf(middle) + 1 - first;
        return middle - 0.5 + (sorted.size() / 2.0 - first) / count;
    }

    private static double sum(List<PlainFleet> runs, ToDoubleFunction<PlainFleet> figure) {
        return runs.stream().mapToDouble(figure).sum();
    }

    static BackendServer server(String name) {
        return server(name, HOME);
    }

    static BackendServer server(String name, DataCentre dataCentre) {
        BackendServerId id = new BackendServerId(name);
        return new BackendServer(
                id,
                id,
                new ServiceName("s"),
                new HostPort("10.0.0.1", 80),
                dataCentre,
                ServerState.READY,
                SLOTS,
                "",
                Optional.empty());
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, number++, action));
    }

    private void sendUpdates(int sender, int next) {
        PlainServerStats stats = gateways.get(sender).stats;
        int[] inFlight =
                servers.stream().mapToInt(server -> stats.inFlight(server.id())).toArray();
        for (int i = 0; i < PEERS_PER_ROUND; i++) {
            gateways.get((next + i) % GATEWAYS).peers[sender] = inFlight;
        }
        at(now + ROUND_MILLIS, () -> sendUpdates(sender, next + PEERS_PER_ROUND));
    }

    private int peersInFlight(int gateway, BackendServerId server) {
        int index = Integer.parseInt(server.value().substring(1));
        int sum = 0;
        for (int peer = 0; peer < GATEWAYS; peer++) {
            int[] reported = gateways.get(gateway).peers[peer];
            sum += peer == gateway || reported == null ? 0 : reported[index];
        }
        return sum;
    }

    /** Lets time pass, with that many requests per second at all gateways together. */
    PlainFleet run(long millis, IntUnaryOperator perSecond) {
        long end = now + millis;
        for (long time = now; time < end; time++) {
            for (int k = perSecond.applyAsInt((int) time); k > 0; k -= 1_000) {
                if (random.nextInt(1_000) < k) {
                    at(time, this::request);
                }
            }
        }
        while (events.peek().at() < end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
        return this;
    }

    private void request() {
        requests++;
        double noise = layout.varied() ? -Math.log(1 - random.nextDouble()) : 0.8 + 0.4 * random.nextDouble();
        int gateway = random.nextInt(GATEWAYS);
        countPerfect(gateway, noise);
        attempt(gateway, noise, now, 1, Set.of());
    }

    /** One queue with complete knowledge gives each request the slot where it ends first. */
    private void countPerfect(int gateway, double noise) {
        long best = Long.MAX_VALUE;
        int[] chosen = {0, 0};
        for (int s = 0; s < freeAt.length; s++) {
            for (int slot = 0; slot < SLOTS; slot++) {
                long end = Math.max(now, freeAt[s][slot]) + millis(s, noise) + layout.roundTripMillis(gateway, s);
                if (end < best && behaviour.failures(s) == 0) {
                    best = end;
                    chosen = new int[] {s, slot};
                }
            }
        }
        freeAt[chosen[0]][chosen[1]] = best - layout.roundTripMillis(gateway, chosen[0]);
        perfectOnTime += best - now <= TARGET_MILLIS ? 1 : 0;
    }

    private long millis(int server, double noise) {
        return Math.round(layout.baseMillis() * noise * behaviour.slowdown(server, now));
    }

    private void attempt(int index, double noise, long start, int count, Set<BackendServerId> avoided) {
        Gateway gateway = gateways.get(index);
        DataCentre home = layout.ofGateway(index);
        Optional<BackendServer> target = shared
                ? gateway.shared.choose(
                        servers,
                        avoided,
                        new SharedServerSelector.Situation(home, id -> peersInFlight(index, id), now),
                        outcomes)
                : gateway.today.choose(servers, avoided, home);
        if (target.isEmpty()) {
            at(now + RETRY_MILLIS, () -> attempt(index, noise, start, count, Set.of()));
            return;
        }
        BackendServerId id = target.get().id();
        int s = servers.indexOf(target.get());
        gateway.stats.requestSent(id, now);
        arrived[s]++;
        arrivedByRound.computeIfAbsent(now / ROUND_MILLIS, any -> new int[servers.size()])[s]++;
        boolean shed = running[s] >= SLOTS;
        sheds += shed ? 1 : 0;
        boolean failed = !shed && outcomes.nextDouble() < behaviour.failures(s);
        running[s] += shed ? 0 : 1;
        long sent = now;
        at(now + layout.roundTripMillis(index, s) + (shed ? 0 : millis(s, noise)), () -> {
            running[s] -= shed ? 0 : 1;
            gateway.stats.loadReported(id, running[s], SLOTS, now);
            PlainServerStats.Outcome outcome = shed
                    ? PlainServerStats.Outcome.SHED
                    : failed ? PlainServerStats.Outcome.FAILED : PlainServerStats.Outcome.SUCCEEDED;
            gateway.stats.requestEnded(id, outcome, now - sent, now);
            if (outcome == PlainServerStats.Outcome.SUCCEEDED) {
                latencies.add(now - start);
                onTime += now - start <= TARGET_MILLIS ? 1 : 0;
            }
            if (shed && count < MAX_ATTEMPTS) {
                Set<BackendServerId> more = new HashSet<>(avoided);
                more.add(id);
                attempt(index, noise, start, count + 1, more);
            }
        });
    }

    /** Share of requests answered on time, in relation to one queue with complete knowledge. */
    double goodput() {
        return onTime / (double) Math.max(1, perfectOnTime);
    }

    /** Sheds for each request. */
    double shedRate() {
        return sheds / (double) requests;
    }

    /** Mean over the update intervals with several arrivals of the share of the server that got most of them. */
    private double worstShare() {
        return arrivedByRound.values().stream()
                .filter(counts -> Arrays.stream(counts).sum() >= 4)
                .mapToDouble(counts -> Arrays.stream(counts).max().orElseThrow()
                        / (double) Arrays.stream(counts).sum())
                .average()
                .orElse(0);
    }

    @Override
    public String toString() {
        return "goodput %.3f, sheds %.4f, to the last server %.3f"
                .formatted(goodput(), shedRate(), arrived[arrived.length - 1] / (double) requests);
    }
}
