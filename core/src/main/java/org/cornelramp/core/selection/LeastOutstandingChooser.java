package org.cornelramp.core.selection;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/**
 * Chooses for each stage the candidate with the fewest requests of this entry in progress, regardless of their size
 * and its speed; a baseline for measurements. Immutable, safe for use by any thread.
 */
public final class LeastOutstandingChooser implements Chooser {

    @Override
    public Either<Problem, Choice> choose(
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        ChainIndex.StageSelector selector = (before, next) -> selectLeastOutstanding(next, random);
        return BaselineChoice.choose(selector, candidates, request, here, links, now, random);
    }

    /** Starts at a random index, so that equal candidates are chosen evenly. */
    private static Candidate selectLeastOutstanding(List<Candidate> next, RandomGenerator random) {
        int start = random.nextInt(next.size());
        Candidate least = next.get(start);
        for (int i = 1; i < next.size(); i++) {
            Candidate c = next.get((start + i) % next.size());
            least = c.outstandingCalls() < least.outstandingCalls() ? c : least;
        }
        return least;
    }
}
