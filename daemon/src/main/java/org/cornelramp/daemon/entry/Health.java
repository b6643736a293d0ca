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
 * The share of work that each agent is given, from how this entry's requests went there.
 *
 * <p>Confined to the router's thread. Shares are held against the best of a group: where all are new or slow, no one
 * can take the work of the others, and lowered shares would only turn requests away.
 */
final class Health {
    private static final Duration RENEWAL = Duration.ofMillis(20);

    private final FleetHealth fleet = new FleetHealth(HealthSettings.DEFAULTS);
    private final Map<Incarnation, String> groups = new HashMap<>();
    private Map<Incarnation, Double> shares = Map.of();
    private Instant firstAt = Instant.MAX;
    private Instant renewAt = Instant.MIN;

    /** An agent is there; it ramps up unless it was there when this entry started. */
    void seen(Incarnation agent, Optional<Offer> offer, Instant now) {
        if (firstAt.equals(Instant.MAX)) {
            firstAt = now;
        }
        if (offer.isEmpty() || groups.containsKey(agent)) {
            return;
        }
        Duration rampUp = HealthSettings.DEFAULTS.rampUp();
        boolean wasThere = now.isBefore(firstAt.plus(rampUp));
        String group = group(offer.get());
        groups.put(agent, group);
        fleet.add(agent, group, wasThere ? now.minus(rampUp) : now);
        renewAt = now;
    }

    void gone(Incarnation agent) {
        groups.remove(agent);
        fleet.remove(agent);
    }

    void succeeded(Incarnation agent, Duration observed, Duration expected, Instant now) {
        fleet.recordSuccess(agent, observed, expected, now);
    }

    /** Notes a success whose time says nothing of this one agent. */
    void succeeded(Incarnation agent, Instant now) {
        fleet.recordSuccess(agent, Duration.ofMillis(1), Duration.ofMillis(1), now);
    }

    void failed(Incarnation agent, Instant now) {
        fleet.recordFailure(agent, now);
        renewAt = now;
    }

    /** The share of an agent, above 0 to 1; empty for one that is ejected. */
    Optional<Double> share(Incarnation agent, Instant now) {
        if (!groups.containsKey(agent)) {
            return Optional.of(1.0);
        }
        if (!now.isBefore(renewAt)) {
            renew(now);
        }
        return Optional.ofNullable(shares.get(agent));
    }

    /** Names the group of an ejected agent that is due a probe, and notes that it gets one. */
    boolean takeProbe(Incarnation agent, Instant now) {
        String group = groups.get(agent);
        if (group == null || !fleet.dueProbe(group, now).equals(Optional.of(agent))) {
            return false;
        }
        fleet.recordProbe(agent, now);
        return true;
    }

    private void renew(Instant now) {
        renewAt = now.plus(RENEWAL);
        Map<String, Double> best = new HashMap<>();
        Map<Incarnation, Double> raw = fleet.shares(now);
        raw.forEach((agent, share) -> best.merge(groups.getOrDefault(agent, ""), share, Math::max));
        Map<Incarnation, Double> held = new HashMap<>();
        raw.forEach((agent, share) -> held.put(agent, share / best.get(groups.getOrDefault(agent, ""))));
        shares = held;
    }

    private static String group(Offer offer) {
        return offer.service()
                + offer.layers()
                        .map(layers -> "/" + layers.from() + "-" + layers.to())
                        .orElse("");
    }
}
