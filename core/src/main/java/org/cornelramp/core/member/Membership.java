package org.cornelramp.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * The agents that this entry knows, from the VM list, from Hello and from heartbeats.
 *
 * <p>The VM list lags, so it only adds addresses and announces that an agent is leaving; what an agent reports itself takes
 * precedence. An agent that is no longer listed stays for as long as its link is up.
 *
 * <p>Confined to one thread. Invariants: there is one member for each backend server, of the newest incarnation seen; an
 * incarnation that was replaced by another never becomes the current one again.
 */
public final class Membership {
    /** Maximum difference between the clocks of two processes. */
    static final Duration CLOCK_SKEW = Duration.ofSeconds(2);

    /** Silence after which an agent whose VM is no longer listed counts as ended. */
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);

    private final Map<BackendServerId, Member> members = new HashMap<>();
    private final Map<BackendServerId, ListedAgent> listedAgents = new HashMap<>();
    private final Set<Incarnation> ended = new HashSet<>();

    /**
     * The effect of a new VM list on links.
     *
     * @param keep addresses to which a link should be kept
     * @param forget addresses to which a link is no longer needed
     */
    public record LinkChange(Set<String> keep, Set<String> forget) {}

    /** Applies a new VM list. */
    public LinkChange updateList(Collection<ListedAgent> agents) {
        Map<BackendServerId, ListedAgent> before = new HashMap<>(listedAgents);
        listedAgents.clear();
        agents.forEach(agent -> listedAgents.put(agent.server(), agent));
        Set<String> keep = new HashSet<>();
        agents.forEach(agent -> keep.add(agent.address()));
        Set<String> forget = new HashSet<>();
        before.values().stream()
                .filter(agent -> !keep.contains(agent.address()) && !isLinked(agent))
                .forEach(agent -> forget.add(agent.address()));
        // An agent with a link stays listed until the link is lost: the list may be wrong, the link is not.
        before.values().stream()
                .filter(agent -> !listedAgents.containsKey(agent.server()) && isLinked(agent))
                .forEach(agent -> listedAgents.put(agent.server(), agent));
        members.replaceAll((server, member) -> member.withListedLeaving(isListedLeaving(server)));
        return new LinkChange(keep, forget);
    }

    /**
     * Records that a link is up and its agent has identified itself.
     *
     * @return the previous incarnation, if the agent has restarted
     */
    public Optional<Incarnation> linkOpened(
            Incarnation incarnation, DataCentre dataCentre, String address, Optional<Offer> offer, Instant now) {
        if (ended.contains(incarnation)) {
            return Optional.empty();
        }
        Member old = members.get(incarnation.server());
        boolean same = old != null && old.incarnation().equals(incarnation);
        AgentState state = same ? old.state() : AgentState.STARTING;
        AgentLoad load = same ? old.load() : AgentLoad.IDLE;
        boolean leaving = isListedLeaving(incarnation.server());
        members.put(
                incarnation.server(),
                new Member(incarnation, dataCentre, address, offer, state, load, true, now, leaving));
        if (old == null || same) {
            return Optional.empty();
        }
        ended.add(old.incarnation());
        return Optional.of(old.incarnation());
    }

    /** Records a heartbeat. */
    public void recordHeartbeat(
            Incarnation incarnation, AgentState state, AgentLoad load, Optional<Offer> offer, Instant now) {
        members.computeIfPresent(
                incarnation.server(),
                (server, member) -> member.incarnation().equals(incarnation)
                        ? member.withHeartbeat(now, state, load, offer)
                        : member);
    }

    /** Records that the last link to an agent is lost. */
    public void linkLost(Incarnation incarnation) {
        members.computeIfPresent(
                incarnation.server(),
                (server, member) -> member.incarnation().equals(incarnation) ? member.withLinked(false) : member);
    }

    /**
     * Whether the incarnation is known to have ended, because a message of another incarnation of its agent arrived after
     * this one was last known to run.
     *
     * <p>A different current incarnation alone is not enough. This entry may still hold a silent link to the older of the
     * two, and a key of the newer one would be reported as unknown although its agent runs.
     *
     * <p>An incarnation that is silent and whose VM is no longer listed also counts as ended, since its key records will not
     * return. If that is wrong, a caller gets the outcome unknown too early, which is never a false statement.
     *
     * @param seenAt when the incarnation was last known to run, by the clock of any process
     */
    public boolean hasEnded(Incarnation incarnation, Instant seenAt, Instant now) {
        if (ended.contains(incarnation)) {
            return true;
        }
        Member present = members.get(incarnation.server());
        if (present == null) {
            return false;
        }
        if (present.incarnation().equals(incarnation)) {
            boolean silent = !present.linked()
                    && present.lastReceivedAt().plus(SILENCE_TIMEOUT).isBefore(now);
            return silent && !listedAgents.containsKey(incarnation.server());
        }
        return present.lastReceivedAt().isAfter(seenAt.plus(CLOCK_SKEW));
    }

    /** The member of an incarnation; empty if it is not the current one. */
    public Optional<Member> member(Incarnation incarnation) {
        return Optional.ofNullable(members.get(incarnation.server()))
                .filter(member -> member.incarnation().equals(incarnation));
    }

    /** All members, including those without a link. */
    public List<Member> members() {
        return new ArrayList<>(members.values());
    }

    private boolean isListedLeaving(BackendServerId server) {
        ListedAgent agent = listedAgents.get(server);
        return agent != null && agent.leaving();
    }

    private boolean isLinked(ListedAgent agent) {
        Member member = members.get(agent.server());
        return member != null && member.linked();
    }
}
