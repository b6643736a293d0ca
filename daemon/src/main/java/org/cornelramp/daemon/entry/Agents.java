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
import org.cornelramp.core.route.Candidate;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/**
 * The agents with their links and the work that this entry has sent to each.
 *
 * <p>Confined to the router's thread. Invariant: an incarnation has at most one link here, the newest.
 */
final class Agents {
    /** Work sent this shortly before a heartbeat came may not be in the load that the heartbeat tells. */
    private static final Duration IN_FLIGHT = Duration.ofMillis(10);

    private static final int MOST_UNCLOSED = 1_024;

    private final Membership membership = new Membership();
    private final IncarnationHistory lives;
    private final Health health;
    private final Map<Incarnation, Link> links = new HashMap<>();
    private final Map<Incarnation, Sent> sent = new HashMap<>();
    private final Map<Incarnation, Deque<Unclosed>> unclosed = new HashMap<>();

    Agents(IncarnationHistory lives, Health health) {
        this.lives = lives;
        this.health = health;
    }

    IncarnationHistory lives() {
        return lives;
    }

    Membership membership() {
        return membership;
    }

    /** Takes a new link; gives the life that it shows to have ended. */
    Optional<Incarnation> opened(Link link, Instant now) {
        Hello peer = link.peer();
        Incarnation agent = peer.incarnation();
        Link older = links.put(agent, link);
        if (older != null && older != link) {
            older.close("replaced by a newer link");
        }
        lives.seen(agent, peer.offer().map(Offer::service), now);
        health.seen(agent, peer.offer(), now);
        Optional<Incarnation> ended =
                membership.linkOpened(agent, peer.dataCentre(), peer.address(), peer.offer(), now);
        ended.ifPresent(health::gone);
        ended.ifPresent(unclosed::remove);
        closeLeft(agent, now);
        return ended;
    }

    /** Takes the end of a link; whether it was the present one of its agent. */
    boolean closed(Link link) {
        Incarnation agent = link.peer().incarnation();
        if (!links.remove(agent, link)) {
            return false;
        }
        membership.linkLost(agent);
        lives.linkLost(agent);
        return true;
    }

    /** Takes a heartbeat of an agent. */
    void heard(Incarnation agent, Heartbeat beat, Instant now) {
        if (!links.containsKey(agent)) {
            return;
        }
        membership.recordHeartbeat(agent, beat.state(), beat.load(), beat.offer(), now);
        lives.seen(agent, beat.offer().map(Offer::service), now);
        health.seen(agent, beat.offer(), now);
        Sent work = sent.get(agent);
        if (work != null) {
            work.told(now.minus(IN_FLIGHT));
        }
    }

    boolean isLinked(Incarnation agent) {
        return links.containsKey(agent);
    }

    /** Sends a message to an agent; false when it has no link or the link refuses it. */
    boolean send(Incarnation agent, Message message) {
        Link link = links.get(agent);
        return link != null && link.send(message);
    }

    /**
     * Closes a session's stage at an agent; without a link, once the agent is linked again. An agent that came back
     * would else hold the stage, and its place at the engine, until the session's deadline.
     */
    void close(Incarnation agent, CloseStage close, Instant until) {
        if (send(agent, close)) {
            return;
        }
        Deque<Unclosed> kept = unclosed.computeIfAbsent(agent, key -> new ArrayDeque<>());
        kept.add(new Unclosed(close, until));
        if (kept.size() > MOST_UNCLOSED) {
            kept.poll();
        }
    }

    private void closeLeft(Incarnation agent, Instant now) {
        Deque<Unclosed> kept = unclosed.remove(agent);
        if (kept != null) {
            kept.stream().filter(one -> now.isBefore(one.until())).forEach(one -> send(agent, one.close()));
        }
    }

    /** Counts work that begins at an agent. */
    void begin(Incarnation agent, long tokens, Instant now) {
        sent.computeIfAbsent(agent, key -> new Sent()).begin(tokens, now);
    }

    /** Counts work that ended at an agent. */
    void end(Incarnation agent) {
        Sent work = sent.get(agent);
        if (work != null && work.end()) {
            sent.remove(agent);
        }
    }

    /** The agents that take new work, but for those that are ejected. */
    List<Candidate> candidates(Instant now) {
        List<Candidate> candidates = new ArrayList<>();
        for (Member member : membership.members()) {
            if (member.takesWork()) {
                health.share(member.incarnation(), now).ifPresent(share -> candidates.add(candidate(member, share)));
            }
        }
        return candidates;
    }

    /** The ejected agent of a service that is due a probe, if any; it counts as probed from now on. */
    Optional<Candidate> probe(ServiceName service, Set<Incarnation> avoid, Instant now) {
        for (Member member : membership.members()) {
            boolean fits = member.takesWork() && member.offer().get().service().equals(service);
            if (fits && !avoid.contains(member.incarnation()) && health.takeProbe(member.incarnation(), now)) {
                return Optional.of(candidate(member, 1));
            }
        }
        return Optional.empty();
    }

    /** These agents as candidates, as far as they are linked, whether or not they take new work. */
    List<Candidate> linked(Set<Incarnation> wanted) {
        List<Candidate> candidates = new ArrayList<>();
        for (Member member : membership.members()) {
            if (member.linked() && member.offer().isPresent() && wanted.contains(member.incarnation())) {
                candidates.add(candidate(member, 1));
            }
        }
        return candidates;
    }

    private Candidate candidate(Member member, double share) {
        Sent work = sent.getOrDefault(member.incarnation(), Sent.NONE);
        return new Candidate(
                member.incarnation(),
                member.dataCentre(),
                member.offer().orElseThrow(),
                member.load(),
                work.tokens,
                work.calls,
                share);
    }

    /** Work sent to one agent. */
    private static final class Sent {
        static final Sent NONE = new Sent();

        private final Deque<Untold> untold = new ArrayDeque<>();
        private long tokens;
        private int calls;

        void begin(long more, Instant now) {
            untold.add(new Untold(now, more));
            tokens += more;
            calls++;
        }

        boolean end() {
            calls--;
            return calls <= 0;
        }

        void told(Instant before) {
            while (!untold.isEmpty() && untold.peek().at().isBefore(before)) {
                tokens -= untold.poll().tokens();
            }
        }
    }

    private record Unclosed(CloseStage close, Instant until) {}

    private record Untold(Instant at, long tokens) {}
}
