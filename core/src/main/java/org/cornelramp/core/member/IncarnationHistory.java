package org.cornelramp.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ServiceName;

/**
 * The agent incarnations that this entry has observed, to determine which of them may have run a key of a given age.
 *
 * <p>While the log cannot be read, this entry cannot tell to which agent another entry may have bound a key. The agents
 * can: if every incarnation that may have run the key denies it and records that it never will, the key did not run.
 * That proof needs all of them, so {@link #possibleHolders} returns them only if none can be missing.
 *
 * <p>Confined to one thread. Bounded: incarnations without a link are dropped after twice the window in which keys are
 * accepted.
 */
public final class IncarnationHistory {
    private final Duration window;
    private final Duration clockSkew;
    private final Map<Incarnation, Observation> observations = new HashMap<>();
    private Set<BackendServerId> listedServers = Set.of();
    private Instant watchingSince = Instant.MAX;
    private Instant listReadStartedAt = Instant.MIN;

    private record Observation(Optional<ServiceName> service, Instant since, Instant lastSeen, boolean linked) {

        boolean mayServe(ServiceName wanted) {
            return service.isEmpty() || service.get().equals(wanted);
        }
    }

    /**
     * @param window age at which keys are refused
     * @param clockSkew maximum time by which the clock that dated a key may be ahead of this entry's clock
     */
    public IncarnationHistory(Duration window, Duration clockSkew) {
        this.window = window;
        this.clockSkew = clockSkew;
    }

    /** Records that a link to an agent is up, or that a message of the agent arrived. */
    public void seen(Incarnation agent, Optional<ServiceName> service, Instant now) {
        observations.merge(
                agent,
                new Observation(service, now, now, true),
                (old, added) -> new Observation(service, old.since, now, true));
    }

    /** Records that the link to an agent is lost. */
    public void linkLost(Incarnation agent) {
        observations.computeIfPresent(
                agent,
                (key, observation) ->
                        new Observation(observation.service, observation.since, observation.lastSeen, false));
    }

    /**
     * Records a read of the VM list.
     *
     * @param askedAt when the read began
     * @param agents the agents in the list
     */
    public void updateList(Instant askedAt, Set<BackendServerId> agents, Instant now) {
        listedServers = Set.copyOf(agents);
        listReadStartedAt = askedAt;
        if (watchingSince.equals(Instant.MAX)) {
            watchingSince = now;
        }
        Instant limit = now.minus(window.multipliedBy(2));
        observations
                .values()
                .removeIf(observation ->
                        !observation.linked() && observation.lastSeen().isBefore(limit));
    }

    /** Whether the latest read of the VM list began at or after {@code since}. */
    public boolean isListReadSince(Instant since) {
        return !listReadStartedAt.isBefore(since);
    }

    /**
     * The incarnations that may have run a key of a service; empty if one may be missing.
     *
     * <p>None is missing under three conditions. This entry has watched since before the key was created. The VM list, read
     * after the request arrived, shows no agent without a link. No incarnation of the service started or ended in that
     * time: one that ended has lost its key records, and one that started may have replaced another that was never seen.
     *
     * @param createdAt when the key was created, by the clock of its creator
     * @param askedAt when the request arrived
     */
    public Optional<Set<Incarnation>> possibleHolders(ServiceName service, Instant createdAt, Instant askedAt) {
        Instant from = createdAt.minus(clockSkew);
        if (watchingSince.isAfter(from) || !isListReadSince(askedAt)) {
            return Optional.empty();
        }
        Set<Incarnation> holders = new HashSet<>();
        Set<BackendServerId> linked = new HashSet<>();
        for (Map.Entry<Incarnation, Observation> entry : observations.entrySet()) {
            Observation observation = entry.getValue();
            if (observation.linked()) {
                linked.add(entry.getKey().server());
            }
            if (!observation.mayServe(service)) {
                continue;
            }
            boolean changedSince = observation.linked()
                    ? observation.since().isAfter(from)
                    : observation.lastSeen().isAfter(from);
            if (changedSince) {
                return Optional.empty();
            }
            if (observation.linked()) {
                holders.add(entry.getKey());
            }
        }
        return linked.containsAll(listedServers) ? Optional.of(holders) : Optional.empty();
    }
}
