package org.cornelramp.core.selection;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/** Shared part of the baseline choosers, which ignore the expected time: they refuse only where no chain exists. */
final class BaselineChoice {

    private BaselineChoice() {}

    static Either<Problem, Choice> choose(
            ChainIndex.StageSelector selector,
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        return ChainIndex.of(candidates, request, now, random).map(chains -> {
            List<Candidate> chain = chains.buildChain(selector);
            CompletionTimeEstimator estimator =
                    new CompletionTimeEstimator(candidates, request, here, links, PrefixHints.NONE, now);
            return new Choice(List.copyOf(chain), CompletionTimeEstimator.toDuration(estimator.expectedSeconds(chain)));
        });
    }
}
