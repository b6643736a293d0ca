package org.cornelramp.core.selection;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/** Chooses each stage uniformly at random; a baseline for measurements. Immutable, safe for use by any thread. */
public final class RandomChooser implements Chooser {

    @Override
    public Either<Problem, Choice> choose(
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        ChainIndex.StageSelector selector = (before, next) -> next.get(random.nextInt(next.size()));
        return BaselineChoice.choose(selector, candidates, request, here, links, now, random);
    }
}
