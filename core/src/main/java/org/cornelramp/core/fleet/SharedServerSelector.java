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
 * requests in flight say little about a server's load. Two servers are drawn at random, weighted by the inverse of the
 * expected time to an answer, and the better one is taken, so that the gateways do not all choose the same server on
 * the same outdated figures. Owned by one thread.
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

    /** Factor between the latency expected of a server that has not been observed lately and that of the fastest. */
    private static final double UNKNOWN_FACTOR = 1.5;

    /** Factor by which a server is slower while it is cold. */
    private static final double COLD_SLOWDOWN = 1.6;

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
        double usualMillis = usualMillis(candidates);
        double[] costs = candidates.stream()
                .mapToDouble(server -> cost(server, usualMillis, situation))
                .toArray();
        double[] weights = new double[costs.length];
        for (int i = 0; i < costs.length; i++) {
            weights[i] = coldShare(candidates.get(i), situation.nowMillis()) / costs[i];
        }
        int first = draw(weights, random);
        if (weights.length > 2) {
            weights[first] = 0; // of two servers, both would always be drawn, and all gateways would choose the same
        }
        int second = draw(weights, random);
        return Optional.of(candidates.get(costs[second] < costs[first] ? second : first));
    }

    /**
     * Expected costs of the servers among which a request would be given one now, in milliseconds.
     *
     * @param servers the candidates
     * @param excluded servers that must not be chosen
     */
    public Map<BackendServerId, Double> costs(
            Collection<BackendServer> servers, Set<BackendServerId> excluded, Situation situation) {
        List<BackendServer> candidates = candidates(servers, excluded, situation);
        double usualMillis = usualMillis(candidates);
        Map<BackendServerId, Double> costs = new HashMap<>();
        candidates.forEach(server -> costs.put(server.id(), cost(server, usualMillis, situation)));
        return costs;
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
     * that was slow or has just started is tried again, but rarely while one is known to be fast: a gateway that gets a
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

    /** Expected time until a client has its answer, in milliseconds. */
    private double cost(BackendServer server, double usualMillis, Situation situation) {
        long now = situation.nowMillis();
        PlainServerRecord known = stats.observed(server.id());
        int slots = Math.max(1, server.slots());
        double requests = known.expectedRequests(situation.peersInFlight().applyAsInt(server.id()), now);
        double cold = known.isLatencyObserved() || known.warmShare(now) >= 1 ? 1 : COLD_SLOWDOWN;
        double firstMillis = Math.min(usualMillis, PlainServerStats.INITIAL_LATENCY_MILLIS * UNKNOWN_FACTOR);
        double latency = cold * known.expectedLatency(known.isLatencyObserved() ? usualMillis : firstMillis, now);
        double roundsAhead = Math.max(0, requests + 1 - slots) / slots;
        double distance =
                server.dataCentre().equals(situation.home()) ? 0 : PlainServerSelector.CROSS_DATA_CENTRE_MILLIS;
        return 1
                + distance
                + latency * (1 + roundsAhead)
                + fullChance(requests, slots) * SHED_PENALTY_MILLIS
                + known.recentFailureRate(now) * PlainServerSelector.FAILURE_PENALTY_MILLIS;
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

    private static int draw(double[] weights, RandomGenerator random) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double left = random.nextDouble() * total;
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
