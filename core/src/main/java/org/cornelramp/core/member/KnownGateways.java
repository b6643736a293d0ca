package org.cornelramp.core.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * The other gateways of the data centre and their last statuses. Confined to one thread.
 *
 * <p>Invariant: a gateway that falls silent counts as away until it is forgotten, so that lost statuses only reduce the
 * number of gateways that may become unready.
 */
final class KnownGateways {
    /** Age up to which a status is fresh; updates of 41 gateways come every 600 ms, and one may be lost. */
    static final long FRESH_MILLIS = 1_300;

    /** Silence after which a gateway is forgotten; it has been replaced by then, or is cut off from its clients too. */
    static final long FORGET_MILLIS = 60_000;

    /** Capacity over this gateway's from which on another one is larger. */
    private static final double LARGER_FACTOR = 1.5;

    /** Load over this gateway's up to which another one does not count as less loaded. */
    private static final double LESS_LOADED_BY = 0.2;

    /** Load from which on a larger gateway has no capacity left for others' clients. */
    private static final double RELIEF_MAX_LOAD = 0.7;

    /** Part of a data centre's gateways that may be unready at once is one in this number. */
    private static final int PART = 4;

    /** Places of that part left free, for one gateway that ends, or that is not known here. */
    private static final int MARGIN = 1;

    private final Map<String, Known> gateways = new HashMap<>();

    private record Known(GatewayStatus status, long atMillis) {
        boolean isFresh(long nowMillis) {
            return nowMillis - atMillis <= FRESH_MILLIS;
        }
    }

    /** Adds the statuses that the caller knows now. */
    void observe(Collection<PeerStatus> statuses, long nowMillis) {
        for (PeerStatus peer : statuses) {
            Known seen = new Known(peer.status(), nowMillis - peer.ageMillis());
            gateways.merge(peer.gateway(), seen, (old, one) -> one.atMillis() >= old.atMillis() ? one : old);
        }
        gateways.values().removeIf(known -> nowMillis - known.atMillis() > FORGET_MILLIS);
    }

    /** What is known from the view of a gateway with the given name, capacity and load. */
    PeerSummary summary(String name, double capacityCores, double load, long nowMillis) {
        int fresh = 0;
        int away = 0;
        int relieving = 0;
        int before = 0;
        int awayBefore = 0;
        long oldestAt = nowMillis;
        Rank own = new Rank(capacityCores, load, name);
        for (Map.Entry<String, Known> entry : gateways.entrySet()) {
            Known known = entry.getValue();
            GatewayStatus status = known.status();
            Rank rank = new Rank(status.capacityCores(), status.load(), entry.getKey());
            boolean isFresh = known.isFresh(nowMillis);
            boolean isThere = isFresh && status.ready();
            fresh += isFresh ? 1 : 0;
            away += isThere ? 0 : 1;
            relieving += isThere && relieves(status, own) ? 1 : 0;
            before += isThere && isOverloaded(status) && Rank.MOST_LOADED_FIRST.compare(rank, own) < 0 ? 1 : 0;
            awayBefore += !isThere && Rank.FIXED.compare(rank, own) < 0 ? 1 : 0;
            oldestAt = Math.min(oldestAt, known.atMillis());
        }
        int quota = Math.max(0, (fresh + 1) / PART - MARGIN);
        return new PeerSummary(
                gateways.size(), fresh, away, quota, relieving, before, awayBefore, nowMillis - oldestAt);
    }

    private static boolean isOverloaded(GatewayStatus status) {
        return status.load() >= CapacityController.UNREADY_ABOVE;
    }

    private static boolean relieves(GatewayStatus status, Rank own) {
        return status.capacityCores() >= LARGER_FACTOR * own.capacityCores()
                && status.load() <= own.load() - LESS_LOADED_BY
                && status.load() < RELIEF_MAX_LOAD;
    }

    /** Position of a gateway in the orders in which gateways become unready. */
    private record Rank(double capacityCores, double load, String name) {
        private static final Comparator<Rank> SMALLEST_FIRST = Comparator.comparingDouble(Rank::capacityCores);

        static final Comparator<Rank> MOST_LOADED_FIRST = SMALLEST_FIRST
                .thenComparing(Comparator.comparingDouble(Rank::load).reversed())
                .thenComparing(Rank::name);

        /** Without the load, which gateways see at different ages: all gateways agree on this order. */
        static final Comparator<Rank> FIXED = SMALLEST_FIRST.thenComparing(Rank::name);
    }
}
