package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.route.Candidate;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.Chooser;
import org.cornelramp.core.route.LinkCosts;
import org.cornelramp.core.route.Work;

/** Chooses backend servers among the agents that are known. Confined to the router's thread. */
final class Selection {
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

    /** Chooses for new work. */
    Either<Problem, Choice> choose(Work work, Instant now) {
        return chooser.choose(agents.candidates(), work, here, costs, now, random);
    }

    /**
     * Chooses for a session that lost a stage: the stages that live stay, since they hold the session's state, and
     * others may come only in place of lost ones. Where that gives no whole pipeline, all are chosen anew.
     */
    Either<Problem, Choice> replace(Work work, List<Incarnation> stages, Instant now) {
        Set<Incarnation> kept = new HashSet<>(stages);
        kept.removeAll(work.avoid());
        List<Candidate> survivors = agents.candidates(member -> kept.contains(member.incarnation()));
        List<Candidate> mixed = new ArrayList<>(survivors);
        agents.candidates().stream()
                .filter(candidate -> survivors.stream().noneMatch(survivor -> overlap(survivor, candidate)))
                .forEach(mixed::add);
        Either<Problem, Choice> choice = chooser.choose(mixed, work, here, costs, now, random);
        return choice.isRight() ? choice : choose(work, now);
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
