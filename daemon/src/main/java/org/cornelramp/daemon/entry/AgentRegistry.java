package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.member.IncarnationHistory;
import org.cornelramp.core.member.Member;
import org.cornelramp.core.member.Membership;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.selection.Candidate;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/**
 * The known agents, their links and the work that this entry has sent to each.
 *
 * <p>Confined to the router's thread. Invariant: an incarnation has at most one link here, the newest.
 */
final class AgentRegistry {
    /**
     * Work sent less than this time before a heartbeat arrived may be missing from the load that the heartbeat reports.
     */
    private static final Duration LOAD_REPORT_DELAY = Duration.ofMillis(10);

    private static final int MAX_PENDING_CLOSES = 1_024;

    private final Membership membership = new Membership();
    private final IncarnationHistory history;
    private final AgentHealthTracker healthTracker;
    private final Map<Incarnation, Link> links = new HashMap<>();
    private final Map<Incarnation, OutstandingWork> outstanding = new HashMap<>();
    private final Map<Incarnation, Deque<PendingClose>> pendingCloses = new HashMap<>();

    AgentRegistry(IncarnationHistory history, AgentHealthTracker healthTracker) {
        this.history = history;
        this.healthTracker = healthTracker;
    }

    IncarnationHistory history() {
        return history;
    }

    Membership membership() {
        return membership;
    }

    /**
     * Registers a new link. Returns the earlier incarnation of the agent that this link shows to have ended, if any.
     */
    Optional<Incarnation> linkOpened(Link link, Instant now) {
        Hello peer = link.peer();
        Incarnation agent = peer.incarnation();
        Link previous = links.put(agent, link);
        if (previous != null && previous != link) {
            previous.close("replaced by a newer link");
        }
        history.seen(agent, peer.offer().map(Offer::service), now);
        healthTracker.agentSeen(agent, peer.offer(), now);
        Optional<Incarnation> ended =
                membership.linkOpened(agent, peer.dataCentre(), peer.address(), peer.offer(), now);
        ended.ifPresent(healthTracker::removeAgent);
        ended.ifPresent(pendingCloses::remove);
        sendPendingCloses(agent, now);
        return ended;
    }

    /** Removes a closed link. Returns whether it was the agent's current link. */
    boolean linkClosed(Link link) {
        Incarnation agent = link.peer().incarnation();
        if (!links.remove(agent, link)) {
            return false;
        }
        membership.linkLost(agent);
        history.linkLost(agent);
        return true;
    }

    /** Updates the state of an agent from its heartbeat. */
    void heartbeatReceived(Incarnation agent, Heartbeat heartbeat, Instant now) {
        if (!links.containsKey(agent)) {
            return;
        }
        membership.recordHeartbeat(agent, heartbeat.state(), heartbeat.load(), heartbeat.offer(), now);
        history.seen(agent, heartbeat.offer().map(Offer::service), now);
        healthTracker.agentSeen(agent, heartbeat.offer(), now);
        OutstandingWork work = outstanding.get(agent);
        if (work != null) {
            work.removeReported(now.minus(LOAD_REPORT_DELAY));
        }
    }

    boolean isLinked(Incarnation agent) {
        return links.containsKey(agent);
    }

    /** Sends a message to an agent. Returns false if the agent has no link or the link refuses the message. */
    boolean send(Incarnation agent, Message message) {
        Link link = links.get(agent);
        return link != null && link.send(message);
    }

    /**
     * Closes a session's stage at an agent. If the agent has no link, the message is sent when it is linked again;
     * otherwise a reconnected agent would hold the stage and its slot at the engine until the session's deadline.
     */
    void closeStage(Incarnation agent, CloseStage close, Instant until) {
        if (send(agent, close)) {
            return;
        }
        Deque<PendingClose> closes = pendingCloses.computeIfAbsent(agent, key -> new ArrayDeque<>());
        closes.add(new PendingClose(close, until));
        if (closes.size() > MAX_PENDING_CLOSES) {
            closes.poll();
        }
    }

    private void sendPendingCloses(Incarnation agent, Instant now) {
        Deque<PendingClose> closes = pendingCloses.remove(agent);
        if (closes != null) {
            closes.stream()
                    .filter(pending -> now.isBefore(pending.until()))
                    .forEach(pending -> send(agent, pending.close()));
        }
    }

    /** Counts work sent to an agent. */
    void workStarted(Incarnation agent, long tokens, Instant now) {
        outstanding.computeIfAbsent(agent, key -> new OutstandingWork()).begin(tokens, now);
    }

    /** Counts work as ended at an agent. */
    void workEnded(Incarnation agent) {
        OutstandingWork work = outstanding.get(agent);
        if (work != null && work.end()) {
            outstanding.remove(agent);
        }
    }

    /** Returns the agents that accept new work, without the ejected ones. */
    List<Candidate> candidates(Instant now) {
        List<Candidate> candidates = new ArrayList<>();
        for (Member member : membership.members()) {
            if (member.takesWork()) {
                healthTracker
                        .share(member.incarnation(), now)
                        .ifPresent(share -> candidates.add(candidate(member, share)));
            }
        }
        return candidates;
    }

    /** Returns an ejected agent of the service that is due for a probe, if any, and records the probe. */
    Optional<Candidate> claimProbe(ServiceName service, Set<Incarnation> avoid, Instant now) {
        for (Member member : membership.members()) {
            boolean fits = member.takesWork() && member.offer().get().service().equals(service);
            if (fits && !avoid.contains(member.incarnation()) && healthTracker.claimProbe(member.incarnation(), now)) {
                return Optional.of(candidate(member, 1));
            }
        }
        return Optional.empty();
    }

    /** Returns those of the given agents that are linked, whether or not they accept new work. */
    List<Candidate> linkedCandidates(Set<Incarnation> incarnations) {
        List<Candidate> candidates = new ArrayList<>();
        for (Member member : membership.members()) {
            if (member.linked() && member.offer().isPresent() && incarnations.contains(member.incarnation())) {
                candidates.add(candidate(member, 1));
            }
        }
        return candidates;
    }

    private Candidate candidate(Member member, double share) {
        OutstandingWork work = outstanding.getOrDefault(member.incarnation(), OutstandingWork.NONE);
        return new Candidate(
                member.incarnation(),
                member.dataCentre(),
                member.offer().orElseThrow(),
                member.load(),
                work.tokens,
                work.calls,
                share);
    }

    /**
     * Work sent to one agent. Tokens count until a heartbeat includes them in the reported load; calls count until they
     * end.
     */
    private static final class OutstandingWork {
        static final OutstandingWork NONE = new OutstandingWork();

        private final Deque<UnreportedWork> unreported = new ArrayDeque<>();
        private long tokens;
        private int calls;

        void begin(long addedTokens, Instant now) {
            unreported.add(new UnreportedWork(now, addedTokens));
            tokens += addedTokens;
            calls++;
        }

        boolean end() {
            calls--;
            return calls <= 0;
        }

        void removeReported(Instant before) {
            while (!unreported.isEmpty() && unreported.peek().sentAt().isBefore(before)) {
                tokens -= unreported.poll().tokens();
            }
        }
    }

    private record PendingClose(CloseStage close, Instant until) {}

    private record UnreportedWork(Instant sentAt, long tokens) {}
}
