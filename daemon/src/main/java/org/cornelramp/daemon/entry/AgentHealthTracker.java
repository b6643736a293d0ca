package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.health.FleetHealth;
import org.cornelramp.core.health.HealthSettings;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * Determines the share of work that each agent gets, from the results of this entry's requests to it.
 *
 * <p>Confined to the router's thread. Shares are relative to the best agent of a group. Where all agents of a group are
 * new or slow, none can take over the work of the others, and lower shares would only cause refusals.
 */
final class AgentHealthTracker {
    private static final Duration SHARE_REFRESH_INTERVAL = Duration.ofMillis(20);

    private final FleetHealth fleet = new FleetHealth(HealthSettings.DEFAULTS);
    private final Map<Incarnation, String> groups = new HashMap<>();
    private Map<Incarnation, Double> shares = Map.of();
    private Instant firstAgentSeenAt = Instant.MAX;
    private Instant refreshAt = Instant.MIN;

    /**
     * Registers an agent that has an offer. Its share ramps up unless the agent was present when this entry started.
     */
    void agentSeen(Incarnation agent, Optional<Offer> offer, Instant now) {
        if (firstAgentSeenAt.equals(Instant.MAX)) {
            firstAgentSeenAt = now;
        }
        if (offer.isEmpty() || groups.containsKey(agent)) {
            return;
        }
        Duration rampUp = HealthSettings.DEFAULTS.rampUp();
        boolean wasPresent = now.isBefore(firstAgentSeenAt.plus(rampUp));
        String group = group(offer.get());
        groups.put(agent, group);
        fleet.add(agent, group, wasPresent ? now.minus(rampUp) : now);
        refreshAt = now;
    }

    void removeAgent(Incarnation agent) {
        groups.remove(agent);
        fleet.remove(agent);
    }

    void recordSuccess(Incarnation agent, Duration observed, Duration expected, Instant now) {
        fleet.recordSuccess(agent, observed, expected, now);
    }

    /** Records a success whose duration cannot be attributed to this agent alone. */
    void recordSuccess(Incarnation agent, Instant now) {
        fleet.recordSuccess(agent, Duration.ofMillis(1), Duration.ofMillis(1), now);
    }

    void recordFailure(Incarnation agent, Instant now) {
        fleet.recordFailure(agent, now);
        refreshAt = now;
    }

    /** Returns the share of an agent, greater than 0 and at most 1; empty if the agent is ejected. */
    Optional<Double> share(Incarnation agent, Instant now) {
        if (!groups.containsKey(agent)) {
            return Optional.of(1.0);
        }
        if (!now.isBefore(refreshAt)) {
            refreshShares(now);
        }
        return Optional.ofNullable(shares.get(agent));
    }

    /** Returns whether an ejected agent is due for a probe, and if so records the probe. */
    boolean claimProbe(Incarnation agent, Instant now) {
        String group = groups.get(agent);
        if (group == null || !fleet.dueProbe(group, now).equals(Optional.of(agent))) {
            return false;
        }
        fleet.recordProbe(agent, now);
        return true;
    }

    private void refreshShares(Instant now) {
        refreshAt = now.plus(SHARE_REFRESH_INTERVAL);
        Map<String, Double> best = new HashMap<>();
        Map<Incarnation, Double> raw = fleet.shares(now);
        raw.forEach((agent, share) -> best.merge(groups.getOrDefault(agent, ""), share, Math::max));
        Map<Incarnation, Double> relative = new HashMap<>();
        raw.forEach((agent, share) -> relative.put(agent, share / best.get(groups.getOrDefault(agent, ""))));
        shares = relative;
    }

    private static String group(Offer offer) {
        return offer.service()
                + offer.layers()
                        .map(layers -> "/" + layers.from() + "-" + layers.to())
                        .orElse("");
    }
}
