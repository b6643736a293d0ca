package org.cornelramp.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * The rate limits that backend servers in need name in their answers. A limit holds for the requests of all gateways
 * together; the gateways divide it by telling each other what they have sent ({@link SharedRateLimit}). Owned by one
 * thread.
 *
 * <p>Invariant: only an answer of the server, or its end, ends a limit; a sign of life or a new registration of the same
 * incarnation does not.
 */
public final class ServerRateLimits {
    /** Most limits in one update to the peers, so that it fits into a datagram; the rest follows in the next updates. */
    static final int MAX_TOLD = 64;

    /** Time after which other limits are told, if there are too many for one update. */
    private static final long TURN_MILLIS = 100;

    /**
     * Time for which the limit of an unregistered server is kept: it may register again under the same incarnation when
     * the platform's store returns from an outage.
     */
    private static final long UNREGISTERED_VALID_MILLIS = 60_000;

    /**
     * How much later than a naming a peer's answer without a limit must be to end it. Covers the time that an update
     * takes, by which the age of an answer is underestimated.
     */
    private static final long END_MARGIN_MILLIS = 500;

    private final GatewayGroup group;
    private final Map<BackendServerId, SharedRateLimit> limits = new TreeMap<>();
    private final Map<BackendServerId, Long> unregisteredMillis = new HashMap<>();
    /**
     * A change of a server's limit. Immutable, safe for use by any thread.
     *
     * @param server the server
     * @param before the limit before, in requests per second; empty for none
     * @param after the limit from now on; empty for none
     * @param source who told: the name of a gateway, or empty if no gateway names the limit any more
     */
    public record Change(
            BackendServerId server, Optional<Double> before, Optional<Double> after, Optional<String> source) {}

    /** @param gateway name of this gateway */
    public ServerRateLimits(String gateway) {
        this.group = new GatewayGroup(gateway);
    }

    /** Records that a peer has sent an update. */
    public void recordPeer(String name, long nowMillis) {
        group.recordPeer(name, nowMillis);
    }

    /**
     * Records that an answer to this gateway names a limit.
     *
     * @return the change that follows; empty if this limit is in force already
     */
    public Optional<Change> recordLimit(BackendServerId server, double requestsPerSecond, long nowMillis) {
        return observe(server, Optional.of(requestsPerSecond), nowMillis, Optional.empty(), nowMillis);
    }

    /**
     * Records that an answer to this gateway names no limit. An answer to a request that was sent before the limit was
     * named may be older than the limit, and is ignored.
     *
     * @param sentMillis when the request was sent
     * @return the change that follows; empty if no limit was in force
     */
    public Optional<Change> recordNoLimit(BackendServerId server, long sentMillis, long nowMillis) {
        SharedRateLimit limit = limits.get(server);
        if (limit == null || limit.rate().isEmpty() || sentMillis <= limit.observedMillis()) {
            return Optional.empty();
        }
        return observe(server, Optional.empty(), nowMillis, Optional.empty(), nowMillis);
    }

    private Optional<Change> observe(
            BackendServerId server, Optional<Double> rate, long atMillis, Optional<String> peer, long nowMillis) {
        SharedRateLimit limit = limits.computeIfAbsent(server, id -> new SharedRateLimit(id, group, nowMillis));
        Optional<Double> before = limit.rate();
        limit.setRate(rate, atMillis, peer.isEmpty(), nowMillis);
        Optional<Double> after = limit.rate();
        return before.equals(after)
                ? Optional.empty()
                : Optional.of(new Change(server, before, after, Optional.of(peer.orElse(group.self()))));
    }

    /**
     * Applies what a peer tells about limits.
     *
     * @param incarnation distinguishes the processes that have had the peer's name
     * @param isKnown whether a server is registered
     * @return the changes that follow
     */
    public List<Change> applyPeerUpdate(
            String peer,
            long incarnation,
            Map<BackendServerId, RateLimitUpdate> update,
            Predicate<BackendServerId> isKnown,
            long nowMillis) {
        List<Change> changes = new ArrayList<>();
        update.forEach((server, told) -> {
            told.observed()
                    .filter(observation -> isNews(server, observation, isKnown, nowMillis))
                    .flatMap(observation -> observe(
                            server,
                            observation.requestsPerSecond(),
                            nowMillis - observation.ageMillis(),
                            Optional.of(peer),
                            nowMillis))
                    .ifPresent(changes::add);
            SharedRateLimit limit = limits.get(server);
            if (limit != null) {
                limit.recordPeerCount(peer, incarnation, told.sent(), nowMillis);
            }
        });
        return changes;
    }

    /** Whether a peer's observation is later than what this gateway knows; affirms a limit that is known already. */
    private boolean isNews(
            BackendServerId server,
            RateLimitUpdate.Observation observation,
            Predicate<BackendServerId> isKnown,
            long nowMillis) {
        SharedRateLimit limit = limits.get(server);
        boolean names = observation.requestsPerSecond().isPresent();
        if (limit == null) {
            return names && isKnown.test(server);
        }
        if (names) {
            limit.affirm(nowMillis);
        }
        long margin = names ? 0 : END_MARGIN_MILLIS;
        boolean differs = !observation.requestsPerSecond().equals(limit.rate());
        return differs && nowMillis - observation.ageMillis() > limit.observedMillis() + margin;
    }

    /** The servers whose limits let this gateway send no further request now. */
    public List<BackendServerId> closedServers(long nowMillis) {
        return limits.entrySet().stream()
                .filter(entry -> !entry.getValue().mayStart(nowMillis))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Time until the server's limit lets this gateway send it another request, in milliseconds; empty if other gateways
     * use the whole limit.
     */
    public Optional<Long> millisUntilStart(BackendServerId server, long nowMillis) {
        SharedRateLimit limit = limits.get(server);
        return limit == null ? Optional.of(0L) : limit.millisUntilStart(nowMillis);
    }

    /** Counts a request that is sent to a server. */
    public void recordSent(BackendServerId server) {
        SharedRateLimit limit = limits.get(server);
        if (limit != null) {
            limit.recordSent();
        }
    }

    /** The limit of a server in force, in requests per second; empty if it has none. */
    public Optional<Double> limit(BackendServerId server) {
        return Optional.ofNullable(limits.get(server)).flatMap(SharedRateLimit::rate);
    }

    /** Number of gateways among which the limit of a server is divided; 0 if it has none. */
    public int sharerCount(BackendServerId server) {
        SharedRateLimit limit = limits.get(server);
        return limit == null ? 0 : limit.sharerCount();
    }

    /** What to tell the peers now. */
    public Map<BackendServerId, RateLimitUpdate> update(long nowMillis) {
        List<BackendServerId> worthTelling = limits.keySet().stream()
                .filter(server -> limits.get(server).isWorthTelling(nowMillis))
                .toList();
        Map<BackendServerId, RateLimitUpdate> told = new HashMap<>();
        long first = nowMillis / TURN_MILLIS * MAX_TOLD;
        for (int i = 0; i < Math.min(MAX_TOLD, worthTelling.size()); i++) {
            BackendServerId server = worthTelling.get((int) ((first + i) % worthTelling.size()));
            told.put(server, limits.get(server).update(nowMillis));
        }
        return told;
    }

    /**
     * Ends the limits that no gateway names any more, and removes what is kept for servers that have been unregistered
     * for long.
     *
     * @param isKnown whether a server is registered
     * @return the changes that follow
     */
    public List<Change> expire(Predicate<BackendServerId> isKnown, long nowMillis) {
        group.removeSilent(nowMillis);
        removeUnregistered(isKnown, nowMillis);
        List<Change> changes = new ArrayList<>();
        limits.forEach((server, limit) -> {
            if (limit.isForgotten(nowMillis)) {
                changes.add(new Change(server, limit.rate(), Optional.empty(), Optional.empty()));
                limit.setRate(Optional.empty(), limit.observedMillis(), false, nowMillis);
            }
        });
        return changes;
    }

    private void removeUnregistered(Predicate<BackendServerId> isKnown, long nowMillis) {
        unregisteredMillis.keySet().removeIf(isKnown);
        limits.keySet().stream()
                .filter(isKnown.negate())
                .forEach(server -> unregisteredMillis.putIfAbsent(server, nowMillis));
        unregisteredMillis.entrySet().removeIf(entry -> {
            boolean over = nowMillis - entry.getValue() > UNREGISTERED_VALID_MILLIS;
            if (over) {
                limits.remove(entry.getKey());
            }
            return over;
        });
    }
}
