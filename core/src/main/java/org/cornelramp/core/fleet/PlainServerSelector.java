package org.cornelramp.core.fleet;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;

/**
 * Chooses the backend server for a request to a plain service: the one expected to answer first, judged by the requests
 * that this process has in flight there, its recent latency and its recent failure rate. Owned by one thread.
 *
 * <p>Used while few gateways share the servers; {@link SharedServerSelector} takes the load of the other gateways into
 * account.
 */
public final class PlainServerSelector {
    /** Round trip to another data centre, in milliseconds, with a margin so that local servers are preferred. */
    static final double CROSS_DATA_CENTRE_MILLIS = 5;

    /** Latency that a failed answer adds for its client, in milliseconds: the time of a retry. */
    static final double FAILURE_PENALTY_MILLIS = 400;

    private final PlainServerStats stats;

    /** @param stats what this process has observed of the servers */
    public PlainServerSelector(PlainServerStats stats) {
        this.stats = stats;
    }

    /**
     * Chooses the server with the lowest expected cost; empty if there is none.
     *
     * @param servers the candidates
     * @param excluded servers that must not be chosen
     * @param home data centre of this process
     */
    public Optional<BackendServer> choose(
            Collection<BackendServer> servers, Set<BackendServerId> excluded, DataCentre home) {
        BackendServer best = null;
        double lowestCost = Double.MAX_VALUE;
        for (BackendServer server : servers) {
            double cost = cost(server, home);
            boolean better = cost < lowestCost
                    || (cost == lowestCost && best != null && server.id().compareTo(best.id()) < 0);
            if (!excluded.contains(server.id()) && better) {
                best = server;
                lowestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Expected cost of a request at a server, in milliseconds. */
    public double cost(BackendServer server, DataCentre home) {
        double distance = server.dataCentre().equals(home) ? 0 : CROSS_DATA_CENTRE_MILLIS;
        return stats.find(server.id())
                .map(known -> cost(known, server.slots(), distance))
                .orElse(PlainServerStats.INITIAL_LATENCY_MILLIS + distance);
    }

    private static double cost(PlainServerRecord known, int slots, double distance) {
        double rounds = 1 + known.inFlight() / (double) Math.max(1, slots);
        return known.latencyMillis() * rounds + distance + known.failureRate() * FAILURE_PENALTY_MILLIS;
    }
}
