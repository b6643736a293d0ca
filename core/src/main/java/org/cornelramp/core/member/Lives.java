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
 * What this entry has witnessed of the lives of agents: which of them may have run a key of a given age.
 *
 * <p>While the log cannot be read, nobody tells to which agent another entry may have bound a key. The agents
 * themselves can: if every life that may have run the key denies it and notes that it never will, the key did not
 * run. That proof needs all lives, so {@link #holders} gives them only if none can be missing.
 *
 * <p>Confined to one thread. Bounded: ended lives are forgotten after the window in which keys are used.
 */
public final class Lives {
    private final Duration window;
    private final Duration clockSkew;
    private final Map<Incarnation, Life> lives = new HashMap<>();
    private Set<BackendServerId> listed = Set.of();
    private Instant watchingSince = Instant.MAX;
    private Instant listAskedAt = Instant.MIN;

    private record Life(Optional<ServiceName> service, Instant since, Instant lastSeen, boolean linked) {

        boolean mayServe(ServiceName wanted) {
            return service.isEmpty() || service.get().equals(wanted);
        }
    }

    /**
     * @param window age at which keys are refused
     * @param clockSkew how far the clock that dated a key may run ahead of this entry's
     */
    public Lives(Duration window, Duration clockSkew) {
        this.window = window;
        this.clockSkew = clockSkew;
    }

    /** A link to an agent is up, or its agent was heard. */
    public void seen(Incarnation agent, Optional<ServiceName> service, Instant now) {
        lives.merge(agent, new Life(service, now, now, true), (old, fresh) -> new Life(service, old.since, now, true));
    }

    /** The link to an agent is gone. */
    public void unlinked(Incarnation agent) {
        lives.computeIfPresent(agent, (key, life) -> new Life(life.service, life.since, life.lastSeen, false));
    }

    /**
     * The VM list was read.
     *
     * @param askedAt when the read began
     * @param agents the agents that it shows
     */
    public void listed(Instant askedAt, Set<BackendServerId> agents, Instant now) {
        listed = Set.copyOf(agents);
        listAskedAt = askedAt;
        if (watchingSince.equals(Instant.MAX)) {
            watchingSince = now;
        }
        Instant limit = now.minus(window.multipliedBy(2));
        lives.values().removeIf(life -> !life.linked() && life.lastSeen().isBefore(limit));
    }

    /** Whether the VM list was read in a read that began at or after {@code since}. */
    public boolean isListReadSince(Instant since) {
        return !listAskedAt.isBefore(since);
    }

    /**
     * The lives that may have run a key of a service; empty if one may be missing.
     *
     * <p>None is missing if this entry has watched since before the key was made, the VM list, read after the
     * request came, shows no agent without a link, and no life of the service began or ended in that time: a life
     * that ended took what it knew with it, and before one that began there may have been another, unseen.
     *
     * @param madeAt when the key was made, by its maker's clock
     * @param askedAt when the request came
     */
    public Optional<Set<Incarnation>> holders(ServiceName service, Instant madeAt, Instant askedAt) {
        Instant from = madeAt.minus(clockSkew);
        if (watchingSince.isAfter(from) || !isListReadSince(askedAt)) {
            return Optional.empty();
        }
        Set<Incarnation> holders = new HashSet<>();
        Set<BackendServerId> linked = new HashSet<>();
        for (Map.Entry<Incarnation, Life> entry : lives.entrySet()) {
            Life life = entry.getValue();
            if (life.linked()) {
                linked.add(entry.getKey().server());
            }
            if (!life.mayServe(service)) {
                continue;
            }
            boolean unsure =
                    life.linked() ? life.since().isAfter(from) : life.lastSeen().isAfter(from);
            if (unsure) {
                return Optional.empty();
            }
            if (life.linked()) {
                holders.add(entry.getKey());
            }
        }
        return linked.containsAll(listed) ? Optional.of(holders) : Optional.empty();
    }
}
