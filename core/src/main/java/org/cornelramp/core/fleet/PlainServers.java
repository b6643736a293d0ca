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
 * Chooses the backend server of a plain request: the one that is expected to answer first, by what it has under way
 * from here, how long it took, and how often it failed lately. Owned by one thread.
 */
public final class PlainServers {
    /** Weight of the newest answer in the means: about the last ten answers count. */
    private static final double NEWEST = 0.1;

    /** Time expected of a server that has not answered yet, in milliseconds. */
    private static final double UNKNOWN_MILLIS = 60;

    /** Way to another data centre and back, in milliseconds, with a margin so that near servers go first. */
    private static final double FAR_MILLIS = 5;

    /** What a failed answer costs its client, in milliseconds: the time of another try. */
    private static final double FAILURE_MILLIS = 400;

    private final Map<BackendServerId, Stats> stats = new HashMap<>();

    private static final class Stats {
        private int underWay;
        private double millis = UNKNOWN_MILLIS;
        private double failures;
    }

    /** The best of the given servers that is not among those to avoid; empty if there is none. */
    public Optional<BackendServer> choose(
            Collection<BackendServer> servers, Set<BackendServerId> avoid, DataCentre home) {
        BackendServer best = null;
        double least = Double.MAX_VALUE;
        for (BackendServer server : servers) {
            double cost = cost(server, home);
            boolean better = cost < least
                    || (cost == least && best != null && server.id().compareTo(best.id()) < 0);
            if (!avoid.contains(server.id()) && better) {
                best = server;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(BackendServer server, DataCentre home) {
        Stats known = stats.get(server.id());
        double far = server.dataCentre().equals(home) ? 0 : FAR_MILLIS;
        if (known == null) {
            return UNKNOWN_MILLIS + far;
        }
        double rounds = 1 + known.underWay / (double) Math.max(1, server.slots());
        return known.millis * rounds + far + known.failures * FAILURE_MILLIS;
    }

    /** Notes that a request was sent. */
    public void sent(BackendServerId id) {
        stats.computeIfAbsent(id, any -> new Stats()).underWay++;
    }

    /** Notes how a request ended. */
    public void ended(BackendServerId id, boolean good, long millis) {
        Stats known = stats.computeIfAbsent(id, any -> new Stats());
        known.underWay = Math.max(0, known.underWay - 1);
        known.failures += NEWEST * ((good ? 0 : 1) - known.failures);
        if (good) {
            known.millis += NEWEST * (millis - known.millis);
        }
    }

    /** Requests that are under way from here. */
    public int underWay(BackendServerId id) {
        Stats known = stats.get(id);
        return known == null ? 0 : known.underWay;
    }

    /** Forgets servers that nobody knows any more. */
    public void retain(Predicate<BackendServerId> known) {
        stats.keySet().removeIf(id -> !known.test(id));
    }
}
