package org.cornelramp.core.route;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/**
 * Takes the candidates of each stage in turn, in the order of their names; a baseline for measurements.
 * Its only state is the number of the turn; safe for use by any thread.
 */
public final class RoundRobinChooser implements Chooser {
    private static final Comparator<Candidate> BY_NAME =
            Comparator.comparing(c -> c.incarnation().server());

    private final AtomicInteger turns = new AtomicInteger();

    @Override
    public Either<Problem, Choice> choose(
            List<Candidate> candidates,
            Work work,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        int turn = turns.getAndIncrement();
        Chains.Picker picker = (before, next) -> {
            List<Candidate> ordered = new ArrayList<>(next);
            ordered.sort(BY_NAME);
            return ordered.get(Math.floorMod(turn, ordered.size()));
        };
        return Unmeasured.choose(picker, candidates, work, here, links, now, random);
    }
}
