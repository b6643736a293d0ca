package org.cornelramp.core.health;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.Incarnation;

/**
 * The share of work that an entry gives each agent, from how its requests went there.
 *
 * <p>Failures in a row and times far above the peers' lower the share; enough failures eject the agent, which then
 * gets one request at a time as a probe until one is answered, and comes back by the ramp-up of a new one. Time is
 * judged as observed over expected, so that a slow kind of accelerator is not taken for a sick one.
 *
 * <p>Invariant: of the agents of one group (those that can stand in for each other) no more than the stated part is
 * ejected: if most of them fail, the cause is elsewhere, and the load of all on the rest would bring those down as
 * well. Owned by one thread.
 */
public final class FleetHealth {
    /** Share of an agent that is kept in use only because too many of its group are ejected. */
    public static final double SHARE_WHEN_KEPT = 0.2;

    private static final double LEAST_SHARE = 0.02;

    private final HealthSettings settings;
    private final Map<Incarnation, AgentHealth> agents = new HashMap<>();

    public FleetHealth(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Adds an agent, which ramps up from now; one that is known already is left as it is.
     *
     * @param group names the agents that can stand in for each other, such as the service and layer range
     */
    public void joined(Incarnation agent, String group, Instant now) {
        agents.computeIfAbsent(agent, a -> new AgentHealth(group, settings, now));
    }

    /** Forgets an agent that has left. */
    public void left(Incarnation agent) {
        agents.remove(agent);
    }

    /**
     * Notes an answered request.
     *
     * @param observed time that it took
     * @param expected time that the choice expected
     */
    public void succeeded(Incarnation agent, Duration observed, Duration expected, Instant now) {
        AgentHealth h = agents.get(agent);
        if (h != null) {
            h.succeeded(observed.toNanos() / (double) Math.max(1, expected.toNanos()), now);
        }
    }

    /** Notes a failure that was the agent's or its backend server's: not a refusal, nor a fault of the request. */
    public void failed(Incarnation agent, Instant now) {
        AgentHealth h = agents.get(agent);
        if (h != null) {
            h.failed(now);
        }
    }

    /** Notes that an ejected agent got the request that {@link #probe} named it for. */
    public void probeSent(Incarnation agent, Instant now) {
        AgentHealth h = agents.get(agent);
        if (h != null) {
            h.probeSent(now);
        }
    }

    /**
     * The ejected agent of a group that is due a probe, if any. The next request that may safely run again goes
     * there, with all its retries left.
     */
    public Optional<Incarnation> probe(String group, Instant now) {
        return agents.entrySet().stream()
                .filter(e -> e.getValue().group.equals(group) && e.getValue().probeDue(now))
                .map(Map.Entry::getKey)
                .min(Comparator.comparing(Incarnation::server));
    }

    /** Whether an agent is ejected now, the bound on its group left aside. */
    public boolean isEjected(Incarnation agent) {
        AgentHealth h = agents.get(agent);
        return h != null && h.isEjected();
    }

    /**
     * The share of each agent, above 0 to 1, for the candidates of a choice. An ejected agent is missing and must
     * not be a candidate.
     */
    public Map<Incarnation, Double> shares(Instant now) {
        Map<String, List<Incarnation>> groups = new HashMap<>();
        agents.forEach((agent, h) ->
                groups.computeIfAbsent(h.group, g -> new ArrayList<>()).add(agent));
        Map<Incarnation, Double> shares = new HashMap<>();
        groups.values().forEach(members -> addShares(members, shares, now));
        return shares;
    }

    private void addShares(List<Incarnation> members, Map<Incarnation, Double> shares, Instant now) {
        double median = median(members);
        List<Incarnation> ejected = new ArrayList<>();
        for (Incarnation agent : members) {
            AgentHealth h = agents.get(agent);
            if (h.isEjected()) {
                ejected.add(agent);
            } else {
                shares.put(agent, Math.max(LEAST_SHARE, h.share(median, now)));
            }
        }
        int allowed = (int) (members.size() * settings.mostEjected());
        ejected.sort(Comparator.<Incarnation>comparingInt(a -> agents.get(a).failures())
                .thenComparing(Incarnation::server));
        for (int i = 0; i < ejected.size() - allowed; i++) {
            shares.put(ejected.get(i), SHARE_WHEN_KEPT);
        }
    }

    private double median(List<Incarnation> members) {
        double[] ratios = members.stream()
                .mapToDouble(a -> agents.get(a).timeRatio())
                .filter(r -> r > 0)
                .sorted()
                .toArray();
        return ratios.length == 0 ? 0 : ratios[(ratios.length - 1) / 2];
    }
}
