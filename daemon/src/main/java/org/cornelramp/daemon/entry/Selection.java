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
import org.cornelramp.core.selection.Candidate;
import org.cornelramp.core.selection.Choice;
import org.cornelramp.core.selection.Chooser;
import org.cornelramp.core.selection.LinkCosts;
import org.cornelramp.core.selection.RoutingRequest;

/** Chooses backend servers among the known agents. Confined to the router's thread. */
final class Selection {
    private static final Duration REPLACEMENT_HORIZON = Duration.ofDays(1);

    private final AgentRegistry agents;
    private final Chooser chooser;
    private final DataCentre localDataCentre;
    private final LinkCosts costs;
    private final RandomGenerator random;

    Selection(
            AgentRegistry agents,
            Chooser chooser,
            DataCentre localDataCentre,
            LinkCosts costs,
            RandomGenerator random) {
        this.agents = agents;
        this.chooser = chooser;
        this.localDataCentre = localDataCentre;
        this.costs = costs;
        this.random = random;
    }

    /** Chooses for new work that may run at most once where it is sent. */
    Either<Problem, Choice> choose(RoutingRequest routingRequest, Instant now) {
        return choose(agents.candidates(now), routingRequest, now);
    }

    /**
     * Chooses for new work that may safely run again elsewhere. An ejected agent that is due for a probe is chosen for
     * it: only such work can safely test whether the agent has recovered, and it has all its retries left.
     */
    Either<Problem, Choice> chooseForRetryable(RoutingRequest routingRequest, Instant now) {
        List<Candidate> candidates = agents.candidates(now);
        Optional<Candidate> probe = agents.claimProbe(routingRequest.service(), routingRequest.excludedAgents(), now);
        if (probe.isPresent()) {
            candidates.removeIf(candidate ->
                    candidate.offer().layers().equals(probe.get().offer().layers())
                            && candidate.offer().service().equals(routingRequest.service()));
            candidates.add(probe.get());
        }
        return choose(candidates, routingRequest, now);
    }

    /** Chooses as if no backend server had any work, to estimate how long the request itself takes. */
    Either<Problem, Choice> chooseAsIfIdle(RoutingRequest routingRequest, Instant now) {
        List<Candidate> idle =
                agents.candidates(now).stream().map(Selection::asIfIdle).toList();
        return choose(idle, routingRequest, now);
    }

    /**
     * Chooses for a session that lost a stage. The remaining stages stay, because they hold the session's state, and
     * only lost ones are replaced. If this gives no complete pipeline, all stages are chosen again.
     */
    Either<Problem, Choice> chooseReplacement(RoutingRequest original, List<Incarnation> stages, Instant now) {
        // A prediction must not end a running stream that may still complete in time; only its deadline does. Speeds
        // measured in the seconds after a fault are low, and with the real deadline streams would be ended with half
        // their time left.
        RoutingRequest routingRequest = new RoutingRequest(
                original.service(),
                original.promptTokens(),
                original.maxTokens(),
                now.plus(REPLACEMENT_HORIZON),
                original.prefixHash(),
                original.excludedAgents());
        Set<Incarnation> kept = new HashSet<>(stages);
        kept.removeAll(routingRequest.excludedAgents());
        List<Candidate> survivors = agents.linkedCandidates(kept);
        List<Candidate> candidates = new ArrayList<>(survivors);
        agents.candidates(now).stream()
                .filter(candidate -> survivors.stream().noneMatch(survivor -> layersOverlap(survivor, candidate)))
                .forEach(candidates::add);
        Either<Problem, Choice> choice = choose(candidates, routingRequest, now);
        return choice.isRight() ? choice : choose(routingRequest, now);
    }

    private Either<Problem, Choice> choose(List<Candidate> candidates, RoutingRequest routingRequest, Instant now) {
        return chooser.choose(candidates, routingRequest, localDataCentre, costs, now, random);
    }

    private static Candidate asIfIdle(Candidate candidate) {
        AgentLoad reported = candidate.load();
        AgentLoad idle = new AgentLoad(
                0, 0, 0, reported.tokensPerSecond(), reported.meanServiceMicros(), reported.linkedEntries());
        return new Candidate(
                candidate.incarnation(), candidate.dataCentre(), candidate.offer(), idle, 0, 0, candidate.share());
    }

    private static boolean layersOverlap(Candidate one, Candidate other) {
        Optional<LayerRange> a = one.offer().layers();
        Optional<LayerRange> b = other.offer().layers();
        return a.isPresent()
                && b.isPresent()
                && a.get().from() < b.get().to()
                && b.get().from() < a.get().to();
    }
}
