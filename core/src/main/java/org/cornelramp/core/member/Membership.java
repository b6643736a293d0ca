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
 * <p>The VM list lags, so it only adds addresses and warns of leaving; what an agent says itself goes first. An
 * agent that the list no longer shows stays for as long as its link lives.
 *
 * <p>Confined to one thread. Invariants: one member for each backend server, of the newest life seen; a life that
 * was followed by another never becomes the present one again.
 */
public final class Membership {
    /** How far the clocks of two processes may be apart. */
    static final Duration CLOCK_SKEW = Duration.ofSeconds(2);

    /** Silence after which an agent whose VM is no longer listed counts as ended. */
    static final Duration LONG_SILENCE = Duration.ofSeconds(3);

    private final Map<BackendServerId, Member> members = new HashMap<>();
    private final Map<BackendServerId, Listed> listed = new HashMap<>();
    private final Set<Incarnation> gone = new HashSet<>();

    /** What a new list changes in the links to keep. */
    public record LinkChange(Set<String> keep, Set<String> forget) {}

    /** Takes the VM list: the agents it shows. */
    public LinkChange listed(Collection<Listed> now) {
        Map<BackendServerId, Listed> before = new HashMap<>(listed);
        listed.clear();
        now.forEach(one -> listed.put(one.server(), one));
        Set<String> keep = new HashSet<>();
        now.forEach(one -> keep.add(one.address()));
        Set<String> forget = new HashSet<>();
        before.values().stream()
                .filter(one -> !keep.contains(one.address()) && !isLinked(one))
                .forEach(one -> forget.add(one.address()));
        // One that is still linked stays listed until its link is lost: the list may be wrong, the link is not.
        before.values().stream()
                .filter(one -> !listed.containsKey(one.server()) && isLinked(one))
                .forEach(one -> listed.put(one.server(), one));
        members.replaceAll((server, member) -> member.withListedLeaving(isListedLeaving(server)));
        return new LinkChange(keep, forget);
    }

    /**
     * A link is up and its agent has said who it is.
     *
     * @return the life that ended, if the agent has started anew
     */
    public Optional<Incarnation> opened(
            Incarnation incarnation, DataCentre dataCentre, String address, Optional<Offer> offer, Instant now) {
        if (gone.contains(incarnation)) {
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
        gone.add(old.incarnation());
        return Optional.of(old.incarnation());
    }

    /** A heartbeat has come. */
    public void heard(Incarnation incarnation, AgentState state, AgentLoad load, Optional<Offer> offer, Instant now) {
        members.computeIfPresent(
                incarnation.server(),
                (server, member) ->
                        member.incarnation().equals(incarnation) ? member.heard(now, state, load, offer) : member);
    }

    /** The last live link to an agent is gone. */
    public void lost(Incarnation incarnation) {
        members.computeIfPresent(
                incarnation.server(),
                (server, member) -> member.incarnation().equals(incarnation) ? member.withLinked(false) : member);
    }

    /**
     * Whether the life is known to have ended: its agent has been heard in another life later than this one was
     * seen.
     *
     * <p>Another life alone does not tell. This entry may still hold a silent link to the earlier of two, and a key
     * of the later one would be given up as unknown though its agent lives.
     *
     * <p>One whose VM the list shows no longer, and which is silent, counts as ended as well: nobody will come back
     * with its memory. If that is wrong, a caller hears unknown too early, which is never a lie.
     *
     * @param seenAt when the life was last known to run, by the clock of any process
     */
    public boolean isGone(Incarnation incarnation, Instant seenAt, Instant now) {
        if (gone.contains(incarnation)) {
            return true;
        }
        Member present = members.get(incarnation.server());
        if (present == null) {
            return false;
        }
        if (present.incarnation().equals(incarnation)) {
            boolean silent =
                    !present.linked() && present.heardAt().plus(LONG_SILENCE).isBefore(now);
            return silent && !listed.containsKey(incarnation.server());
        }
        return present.heardAt().isAfter(seenAt.plus(CLOCK_SKEW));
    }

    /** The member of a life, if it is the present one. */
    public Optional<Member> member(Incarnation incarnation) {
        return Optional.ofNullable(members.get(incarnation.server()))
                .filter(member -> member.incarnation().equals(incarnation));
    }

    /** All members. */
    public List<Member> members() {
        return new ArrayList<>(members.values());
    }

    private boolean isListedLeaving(BackendServerId server) {
        Listed one = listed.get(server);
        return one != null && one.leaving();
    }

    private boolean isLinked(Listed one) {
        Member member = members.get(one.server());
        return member != null && member.linked();
    }
}
