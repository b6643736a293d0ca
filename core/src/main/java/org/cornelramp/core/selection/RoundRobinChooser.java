package org.cornelramp.core.selection;

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
 * Chooses the candidates of each stage in turn, ordered by server name; a baseline for measurements. Its only state is
 * an atomic request counter; safe for use by any thread.
 */
public final class RoundRobinChooser implements Chooser {
    private static final Comparator<Candidate> BY_SERVER_NAME =
            Comparator.comparing(c -> c.incarnation().server());

    private final AtomicInteger nextTurn = new AtomicInteger();

    @Override
    public Either<Problem, Choice> choose(
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        int turn = nextTurn.getAndIncrement();
        ChainIndex.StageSelector selector = (before, next) -> {
            List<Candidate> ordered = new ArrayList<>(next);
            ordered.sort(BY_SERVER_NAME);
            return ordered.get(Math.floorMod(turn, ordered.size()));
        };
        return BaselineChoice.choose(selector, candidates, request, here, links, now, random);
    }
}
