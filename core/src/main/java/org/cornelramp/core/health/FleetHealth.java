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
 * The share of work that an entry gives each agent, from the results of its requests there.
 *
 * <p>Failures, and times far above those of its peers, lower the share of an agent. Enough consecutive failures eject
 * it. An ejected agent gets one request at a time as a probe until one is answered, and then ramps up like a new agent.
 * Times are compared as the ratio of observed to expected, so that a slow kind of accelerator is not taken for a fault.
 *
 * <p>Invariant: of the agents of one group (agents that can replace each other) at most the configured part is
 * unavailable through ejection. If most of a group fails, the cause is elsewhere, and the whole load on the remaining
 * agents would bring those down as well. Owned by one thread.
 */
public final class FleetHealth {
    /** Share of an ejected agent that stays in use because too many of its group are ejected. */
    public static final double RETAINED_SHARE = 0.2;

    private static final double MIN_SHARE = 0.02;

    private final HealthSettings settings;
    private final Map<Incarnation, AgentHealth> agents = new HashMap<>();

    public FleetHealth(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Adds an agent, which ramps up from now; has no effect if the agent is already known.
     *
     * @param group identifies the agents that can replace each other, such as a service and layer range
     */
    public void add(Incarnation agent, String group, Instant now) {
        agents.computeIfAbsent(agent, a -> new AgentHealth(group, settings, now));
    }

    /** Removes an agent that has left. */
    public void remove(Incarnation agent) {
        agents.remove(agent);
    }

    /**
     * Records an answered request.
     *
     * @param observed time that it took
     * @param expected time that was predicted when the agent was chosen
     */
    public void recordSuccess(Incarnation agent, Duration observed, Duration expected, Instant now) {
        AgentHealth h = agents.get(agent);
        if (h != null) {
            h.recordSuccess(observed.toNanos() / (double) Math.max(1, expected.toNanos()), now);
        }
    }

    /** Records a failure of the agent or its backend server; refusals and faulty requests do not count. */
    public void recordFailure(Incarnation agent, Instant now) {
        AgentHealth h = agents.get(agent);
        if (h != null) {
            h.recordFailure(now);
        }
    }

    /** Records that a request was sent to the ejected agent that {@link #dueProbe} returned. */
    public void recordProbe(Incarnation agent, Instant now) {
        AgentHealth h = agents.get(agent);
        if (h != null) {
            h.recordProbe(now);
        }
    }

    /**
     * The ejected agent of a group that is due for a probe, if any. The next request that may safely be retried goes
     * there, with all its retries left.
     */
    public Optional<Incarnation> dueProbe(String group, Instant now) {
        return agents.entrySet().stream()
                .filter(e -> e.getValue().group.equals(group) && e.getValue().probeDue(now))
                .map(Map.Entry::getKey)
                .min(Comparator.comparing(Incarnation::server));
    }

    /** Whether an agent is ejected, regardless of the bound on the ejected part of its group. */
    public boolean isEjected(Incarnation agent) {
        AgentHealth h = agents.get(agent);
        return h != null && h.isEjected();
    }

    /**
     * The share of each agent, above 0 and at most 1. An agent that is missing is ejected and must not be chosen.
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
                shares.put(agent, Math.max(MIN_SHARE, h.share(median, now)));
            }
        }
        int allowed = (int) (members.size() * settings.maxEjectedPart());
        ejected.sort(Comparator.<Incarnation>comparingInt(a -> agents.get(a).consecutiveFailures())
                .thenComparing(Incarnation::server));
        for (int i = 0; i < ejected.size() - allowed; i++) {
            shares.put(ejected.get(i), RETAINED_SHARE);
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
