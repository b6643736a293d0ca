package org.cornelramp.core.route;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/** What the choosers that ignore expected time have in common: they refuse only where no chain can serve. */
final class Unmeasured {

    private Unmeasured() {}

    static Either<Problem, Choice> choose(
            Chains.Picker picker,
            List<Candidate> candidates,
            Work work,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        return Chains.of(candidates, work, now, random).map(chains -> {
            List<Candidate> chain = chains.walk(picker);
            Estimator estimator = new Estimator(candidates, work, here, links, PrefixHints.NONE, now);
            return new Choice(List.copyOf(chain), Estimator.duration(estimator.expected(chain)));
        });
    }
}
