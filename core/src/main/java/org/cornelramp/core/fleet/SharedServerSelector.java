package org.cornelramp.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;

/**
 * Chooses the backend server for a request to a plain service that many gateways share, so that this process's own
 * requests in flight say little about a server's load. The server with the least expected time to an answer is taken.
 * The load that the peers report is older than a request takes, so the present load is drawn at random around it for
 * each request; otherwise the gateways would all choose the same server on the same outdated figures. Owned by one
 * thread.
 *
 * <p>Invariant: a server that is known to be full is chosen only if all others are excluded or known to be full too.
 */
public final class SharedServerSelector {
    /**
     * Cost of a refusal by a full server, in milliseconds: a round trip, a further search, and one of the retries that
     * all gateways share.
     */
    private static final double SHED_PENALTY_MILLIS = 100;

    /** Time until a request that was shed is sent again, in milliseconds: that of the next search for a server. */
    private static final long SHED_RETRY_MILLIS = 60;

    /**
     * Factor up to which observed latencies count as equal. A gateway gets a request every few seconds, so its estimate
     * is little more than the last answer, and answers of one server differ by that much.
     */
    private static final double SIMILAR_FACTOR = 1.5;

    /**
     * Factor between the latency expected of a server that has not been observed lately and that of the fastest; more
     * than {@link #SIMILAR_FACTOR}, so that a slow server does not count as equal after a while.
     */
    private static final double UNKNOWN_FACTOR = 1.6;

    /**
     * Weight of this process's own requests in flight, in relation to a request that has to wait for the slots. They
     * are the only load known to the moment. With 4 there are as few sheds at 48 requests/s as with {@link
     * PlainServerSelector}, with 1 there are more.
     */
    private static final double OWN_REQUEST_WEIGHT = 4;

    /** Bound of the random part of a cost that decides between equal costs, in milliseconds. */
    private static final double TIE_MILLIS = 0.01;

    /** Steps in which the share of a cold server rises. */
    private static final int COLD_STEPS = 4;

    /** Most slots for which the chance of a full server is computed; a server with more is hardly ever full. */
    private static final int MAX_COMPUTED_SLOTS = 64;

    private final PlainServerStats stats;

    /** @param stats what this process has observed of the servers */
    public SharedServerSelector(PlainServerStats stats) {
        this.stats = stats;
    }

    /**
     * The state outside the statistics on which a choice depends.
     *
     * @param home data centre of this process
     * @param peersInFlight requests that the other gateways have in flight at a server
     * @param nowMillis the present time on the steady clock
     */
    public record Situation(DataCentre home, ToIntFunction<BackendServerId> peersInFlight, long nowMillis) {}

    /** Whether a service is shared by so many gateways that this selector applies. */
    public static boolean applies(Collection<BackendServer> servers, int gateways) {
        return servers.stream().mapToInt(BackendServer::slots).min().stream().anyMatch(slots -> gateways >= slots);
    }

    /**
     * Chooses a server; empty if there is none.
     *
     * @param servers the candidates
     * @param excluded servers that must not be chosen
     */
    public Optional<BackendServer> choose(
            Collection<BackendServer> servers,
            Set<BackendServerId> excluded,
            Situation situation,
            RandomGenerator random) {
        List<BackendServer> candidates = candidates(servers, excluded, situation);
        if (candidates.size() <= 1) {
            return candidates.stream().findFirst();
        }
        return Optional.of(cheapest(withoutSomeCold(candidates, situation.nowMillis(), random), situation, random));
    }

    /** The candidates, without a cold server where it would exceed its share; all of them if none would be left. */
    private List<BackendServer> withoutSomeCold(List<BackendServer> candidates, long now, RandomGenerator random) {
        List<BackendServer> rest = candidates.stream()
                .filter(server -> random.nextDouble() < coldShare(server, now))
                .toList();
        return rest.isEmpty() ? candidates : rest;
    }

    /** The server with the least cost at a present load that is drawn. */
    private BackendServer cheapest(List<BackendServer> candidates, Situation situation, RandomGenerator random) {
        double[] latencies = comparedLatencies(candidates, situation);
        BackendServer cheapest = candidates.get(0);
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < latencies.length; i++) {
            BackendServer server = candidates.get(i);
            double others = drawPresent(expectedOthers(server, situation), random);
            double cost = cost(server, latencies[i], others, situation) + random.nextDouble() * TIE_MILLIS;
            if (cost < lowestCost) {
                cheapest = server;
                lowestCost = cost;
            }
        }
        return cheapest;
    }

    /**
     * Expected costs of the servers among which a request would be given one now, in milliseconds, at the load that is
     * expected and not at one that is drawn around it. Changes no state.
     *
     * @param servers the candidates
     * @param excluded servers that must not be chosen
     */
    public Map<BackendServerId, Double> costs(
            Collection<BackendServer> servers, Set<BackendServerId> excluded, Situation situation) {
        List<BackendServer> candidates = candidates(servers, excluded, situation);
        Map<BackendServerId, Double> costs = new HashMap<>();
        if (candidates.isEmpty()) {
            return costs;
        }
        double[] latencies = comparedLatencies(candidates, situation);
        for (int i = 0; i < latencies.length; i++) {
            BackendServer server = candidates.get(i);
            costs.put(server.id(), cost(server, latencies[i], expectedOthers(server, situation), situation));
        }
        return costs;
    }

    /**
     * The latencies by which candidates are compared. Those that differ little count as equal. So does that of a local
     * server which has not been observed, while the fastest one is in another data centre: a gateway whose first request
     * went there would otherwise never try the local server.
     */
    private double[] comparedLatencies(List<BackendServer> candidates, Situation situation) {
        double usualMillis = usualMillis(candidates);
        double[] latencies = candidates.stream()
                .mapToDouble(server -> latency(server, usualMillis, situation.nowMillis()))
                .toArray();
        int fastest = indexOfLowest(latencies);
        boolean distant = !isLocal(candidates.get(fastest), situation);
        double[] compared = new double[latencies.length];
        for (int i = 0; i < latencies.length; i++) {
            BackendServer server = candidates.get(i);
            PlainServerRecord known = stats.observed(server.id());
            boolean untried = known.inFlight() == 0 && known.warmShare(situation.nowMillis()) >= 1;
            boolean similar = known.isLatencyObserved()
                    ? latencies[i] <= latencies[fastest] * SIMILAR_FACTOR
                    : distant && isLocal(server, situation) && untried;
            compared[i] = latencies[similar ? fastest : i];
        }
        return compared;
    }

    private List<BackendServer> candidates(
            Collection<BackendServer> servers, Set<BackendServerId> excluded, Situation situation) {
        List<BackendServer> allowed = allowed(servers, excluded);
        List<BackendServer> open = allowed.stream()
                .filter(server -> stats.millisUntilSlot(server.id(), situation.nowMillis()) == 0)
                .toList();
        return open.isEmpty() ? allowed : open;
    }

    private static List<BackendServer> allowed(Collection<BackendServer> servers, Set<BackendServerId> excluded) {
        return servers.stream()
                .filter(server -> !excluded.contains(server.id()))
                .toList();
    }

    /**
     * Time until a slot is expected to be free, in milliseconds; empty if a server may have room now, or if there is
     * none.
     */
    public OptionalLong millisUntilSlot(
            Collection<BackendServer> servers, Set<BackendServerId> excluded, long nowMillis) {
        return allowed(servers, excluded).stream()
                .mapToLong(server -> stats.millisUntilSlot(server.id(), nowMillis))
                .min()
                .stream()
                .filter(millis -> millis > 0)
                .findFirst();
    }

    /**
     * Whether a request should wait for a slot instead of being sent to a full server and again after its refusal.
     *
     * @param slotMillis time until a slot is expected to be free
     * @param maxMillis longest wait
     */
    public static boolean isWaitUseful(long slotMillis, long maxMillis) {
        return slotMillis <= maxMillis && slotMillis < SHED_RETRY_MILLIS;
    }

    /**
     * Latency expected of a server that has not been observed lately: somewhat more than that of the fastest. A server
     * that was slow or has just started is tried when the load of the others costs as much: a gateway that gets a
     * request every few seconds would otherwise spend a tenth of them on trials.
     */
    private double usualMillis(List<BackendServer> candidates) {
        return candidates.stream()
                        .flatMap(server -> stats.find(server.id()).stream())
                        .filter(PlainServerRecord::isLatencyObserved)
                        .mapToDouble(known -> Math.max(1, known.usualLatency()))
                        .min()
                        .orElse(PlainServerStats.INITIAL_LATENCY_MILLIS)
                * UNKNOWN_FACTOR;
    }

    private static int indexOfLowest(double[] values) {
        int lowest = 0;
        for (int i = 1; i < values.length; i++) {
            lowest = values[i] < values[lowest] ? i : lowest;
        }
        return lowest;
    }

    private static boolean isLocal(BackendServer server, Situation situation) {
        return server.dataCentre().equals(situation.home());
    }

    /** Expected latency without a wait for a slot, in milliseconds. */
    private double latency(BackendServer server, double usualMillis, long now) {
        PlainServerRecord known = stats.observed(server.id());
        if (known.isLatencyObserved()) {
            return known.expectedLatency(usualMillis, now);
        }
        double cold = known.warmShare(now) >= 1 ? 1 : PlainServerRecord.COLD_SLOWDOWN;
        return cold
                * known.expectedLatency(
                        Math.min(usualMillis, PlainServerStats.INITIAL_LATENCY_MILLIS * UNKNOWN_FACTOR), now);
    }

    /** Requests of other gateways that are expected at a server. */
    private double expectedOthers(BackendServer server, Situation situation) {
        PlainServerRecord known = stats.observed(server.id());
        int peers = situation.peersInFlight().applyAsInt(server.id());
        return Math.max(0, known.expectedRequests(peers, situation.nowMillis()) - known.inFlight());
    }

    /** Expected time until a client has its answer, in milliseconds, with a number of requests of other gateways. */
    private double cost(BackendServer server, double latency, double others, Situation situation) {
        long now = situation.nowMillis();
        PlainServerRecord known = stats.observed(server.id());
        int slots = Math.max(1, server.slots());
        int own = known.inFlight();
        double requests = own + others;
        double roundsAhead = Math.max(0, requests + 1 - slots) / slots;
        double distance = isLocal(server, situation) ? 0 : PlainServerSelector.CROSS_DATA_CENTRE_MILLIS;
        return distance
                + latency * (1 + roundsAhead + OWN_REQUEST_WEIGHT * own / slots)
                + fullChance(requests, slots) * SHED_PENALTY_MILLIS
                + known.recentFailureRate(now) * PlainServerSelector.FAILURE_PENALTY_MILLIS;
    }

    /**
     * A present number of requests, given the outdated one: as far from it as a Poisson-distributed number is from its
     * mean. The one more in the variance is for a server at which no requests are known.
     */
    private static double drawPresent(double outdated, RandomGenerator random) {
        return Math.max(0, outdated + random.nextGaussian() * Math.sqrt(outdated + 1));
    }

    /**
     * Chance that a server is full on arrival of a request, by Erlang's loss formula. The figures of the other gateways
     * are older than a request takes, so they tell the mean number of requests at a server and not the present one.
     */
    static double fullChance(double requests, int slots) {
        if (slots > MAX_COMPUTED_SLOTS) {
            return requests >= slots ? 1 : 0;
        }
        double chance = 1;
        for (int i = 1; i <= slots; i++) {
            chance = requests * chance / (i + requests * chance);
        }
        return chance;
    }

    private double coldShare(BackendServer server, long nowMillis) {
        double warm = stats.observed(server.id()).warmShare(nowMillis);
        return Math.min(COLD_STEPS, 1 + Math.floor(COLD_STEPS * Math.max(0, warm))) / COLD_STEPS;
    }
}
