package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.route.Candidate;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.Chooser;
import org.cornelramp.core.route.LinkCosts;
import org.cornelramp.core.route.RoutingRequest;

/** Chooses backend servers among the agents that are known. Confined to the router's thread. */
final class Selection {
    private static final Duration UNHURRIED = Duration.ofDays(1);

    private final Agents agents;
    private final Chooser chooser;
    private final DataCentre here;
    private final LinkCosts costs;
    private final RandomGenerator random;

    Selection(Agents agents, Chooser chooser, DataCentre here, LinkCosts costs, RandomGenerator random) {
        this.agents = agents;
        this.chooser = chooser;
        this.here = here;
        this.costs = costs;
        this.random = random;
    }

    /** Chooses for new work that may run at most once where it is sent. */
    Either<Problem, Choice> choose(RoutingRequest work, Instant now) {
        return choose(agents.candidates(now), work, now);
    }

    /**
     * Chooses for new work that may safely run again elsewhere. An ejected agent that is due a probe gets it: only
     * such work tells whether the agent is well again, and it has all its retries left.
     */
    Either<Problem, Choice> chooseRepeatable(RoutingRequest work, Instant now) {
        List<Candidate> candidates = agents.candidates(now);
        Optional<Candidate> probe = agents.probe(work.service(), work.excludedAgents(), now);
        if (probe.isPresent()) {
            candidates.removeIf(candidate ->
                    candidate.offer().layers().equals(probe.get().offer().layers())
                            && candidate.offer().service().equals(work.service()));
            candidates.add(probe.get());
        }
        return choose(candidates, work, now);
    }

    /** Chooses as if no backend server had any work, to tell how long the request itself takes. */
    Either<Problem, Choice> chooseAsIfIdle(RoutingRequest work, Instant now) {
        List<Candidate> idle =
                agents.candidates(now).stream().map(Selection::asIfIdle).toList();
        return choose(idle, work, now);
    }

    /**
     * Chooses for a session that lost a stage: the stages that live stay, since they hold the session's state, and
     * others may come only in place of lost ones. Where that gives no whole pipeline, all are chosen anew.
     */
    Either<Problem, Choice> replace(RoutingRequest lost, List<Incarnation> stages, Instant now) {
        // A prediction must not cut a stream under way that may still be in time: only its deadline ends it. Speeds
        // measured in the seconds after a fault are low, and streams were given up on with half their time left.
        RoutingRequest work = new RoutingRequest(
                lost.service(),
                lost.promptTokens(),
                lost.maxTokens(),
                now.plus(UNHURRIED),
                lost.prefixHash(),
                lost.excludedAgents());
        Set<Incarnation> kept = new HashSet<>(stages);
        kept.removeAll(work.excludedAgents());
        List<Candidate> survivors = agents.linked(kept);
        List<Candidate> mixed = new ArrayList<>(survivors);
        agents.candidates(now).stream()
                .filter(candidate -> survivors.stream().noneMatch(survivor -> overlap(survivor, candidate)))
                .forEach(mixed::add);
        Either<Problem, Choice> choice = choose(mixed, work, now);
        return choice.isRight() ? choice : choose(work, now);
    }

    private Either<Problem, Choice> choose(List<Candidate> candidates, RoutingRequest work, Instant now) {
        return chooser.choose(candidates, work, here, costs, now, random);
    }

    private static Candidate asIfIdle(Candidate candidate) {
        AgentLoad told = candidate.load();
        AgentLoad none = new AgentLoad(0, 0, 0, told.tokensPerSecond(), told.meanServiceMicros(), told.linkedEntries());
        return new Candidate(
                candidate.incarnation(), candidate.dataCentre(), candidate.offer(), none, 0, 0, candidate.share());
    }

    private static boolean overlap(Candidate one, Candidate other) {
        Optional<LayerRange> a = one.offer().layers();
        Optional<LayerRange> b = other.offer().layers();
        return a.isPresent()
                && b.isPresent()
                && a.get().from() < b.get().to()
                && b.get().from() < a.get().to();
    }
}
