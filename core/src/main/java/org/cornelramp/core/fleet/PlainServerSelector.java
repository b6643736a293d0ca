package org.cornelramp.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;

/**
 * Chooses the backend server for a request to a plain service: the one expected to answer first, judged by the requests
 * that this process has in flight there, its recent latency and its recent failure rate. Owned by one thread.
 */
public final class PlainServerSelector {
    /** Weight of the newest answer in the moving averages, which cover about the last ten answers. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Latency assumed for a server that has not answered yet, in milliseconds. */
    private static final double INITIAL_LATENCY_MILLIS = 60;

    /** Round trip to another data centre, in milliseconds, with a margin so that local servers are preferred. */
    private static final double CROSS_DATA_CENTRE_MILLIS = 5;

    /** Latency that a failed answer adds for its client, in milliseconds: the time of a retry. */
    private static final double FAILURE_PENALTY_MILLIS = 400;

    private final Map<BackendServerId, Stats> stats = new HashMap<>();

    private static final class Stats {
        private int inFlight;
        private double latencyMillis = INITIAL_LATENCY_MILLIS;
        private double failureRate;
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

    private double cost(BackendServer server, DataCentre home) {
        Stats serverStats = stats.get(server.id());
        double distance = server.dataCentre().equals(home) ? 0 : CROSS_DATA_CENTRE_MILLIS;
        if (serverStats == null) {
            return INITIAL_LATENCY_MILLIS + distance;
        }
        double rounds = 1 + serverStats.inFlight / (double) Math.max(1, server.slots());
        return serverStats.latencyMillis * rounds + distance + serverStats.failureRate * FAILURE_PENALTY_MILLIS;
    }

    /** Records that a request was sent. */
    public void requestSent(BackendServerId id) {
        stats.computeIfAbsent(id, any -> new Stats()).inFlight++;
    }

    /**
     * Records how a request ended.
     *
     * @param succeeded whether the server answered without a failure
     * @param millis time from sending to the answer; ignored after a failure
     */
    public void requestEnded(BackendServerId id, boolean succeeded, long millis) {
        Stats serverStats = stats.computeIfAbsent(id, any -> new Stats());
        serverStats.inFlight = Math.max(0, serverStats.inFlight - 1);
        serverStats.failureRate += SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - serverStats.failureRate);
        if (succeeded) {
            serverStats.latencyMillis += SMOOTHING_FACTOR * (millis - serverStats.latencyMillis);
        }
    }

    /** Number of requests that this process has in flight at the server. */
    public int inFlight(BackendServerId id) {
        Stats serverStats = stats.get(id);
        return serverStats == null ? 0 : serverStats.inFlight;
    }

    /** Drops the statistics of servers that are no longer known. */
    public void retain(Predicate<BackendServerId> known) {
        stats.keySet().removeIf(id -> !known.test(id));
    }
}
