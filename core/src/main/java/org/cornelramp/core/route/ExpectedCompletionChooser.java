package org.cornelramp.core.route;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * Chooses the chain with the shortest expected time among a few drawn at random.
 *
 * <p>Several entries hold the same late news. If each took the best of all candidates, all would send to the same
 * one until the next heartbeat, and its queue would be the slowest. A few draws for each request keep them apart
 * and find a chain almost as good. Immutable, safe for use by any thread.
 */
public final class ExpectedCompletionChooser implements Chooser {
    private static final int DRAWS_PER_STAGE = 6;
    private static final int CHAINS = 4;
    private static final Duration LEAST_SPREAD = Duration.ofMillis(250);
    private static final Duration MOST_RETRY = Duration.ofSeconds(60);

    private final PrefixHints hints;

    public ExpectedCompletionChooser(PrefixHints hints) {
        this.hints = hints;
    }

    /** This chooser with other hints. */
    public ExpectedCompletionChooser withHints(PrefixHints newer) {
        return new ExpectedCompletionChooser(newer);
    }

    @Override
    public Either<Problem, Choice> choose(
            List<Candidate> candidates,
            Work work,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        Estimator estimator = new Estimator(candidates, work, here, links, hints, now);
        return Chains.of(candidates, work, now, random).flatMap(chains -> {
            List<Candidate> best = best(chains, estimator, here, random);
            double budget = Estimator.seconds(Duration.between(now, work.deadline()));
            return check(best, estimator, budget, random);
        });
    }

    private static List<Candidate> best(Chains chains, Estimator estimator, DataCentre here, RandomGenerator random) {
        Chains.Picker picker = (before, next) -> {
            DataCentre from =
                    before.isEmpty() ? here : before.get(before.size() - 1).dataCentre();
            return cheapestDraw(next, from, estimator, random);
        };
        List<Candidate> best = chains.walk(picker);
        double bestTime = estimator.expected(best);
        for (int i = 1; best.size() > 1 && i < CHAINS; i++) {
            List<Candidate> other = chains.walk(picker);
            double time = estimator.expected(other);
            if (time < bestTime) {
                best = other;
                bestTime = time;
            }
        }
        return best;
    }

    private static Candidate cheapestDraw(
            List<Candidate> next, DataCentre from, Estimator estimator, RandomGenerator random) {
        Candidate best = null;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < DRAWS_PER_STAGE; i++) {
            Candidate c = next.get(random.nextInt(next.size()));
            double cost = estimator.stageCost(c, from);
            if (best == null || cost < bestCost) {
                best = c;
                bestCost = cost;
            }
        }
        return best;
    }

    private static Either<Problem, Choice> check(
            List<Candidate> chain, Estimator estimator, double budget, RandomGenerator random) {
        double expected = estimator.expected(chain);
        if (expected <= budget) {
            return Either.right(new Choice(List.copyOf(chain), Estimator.duration(expected)));
        }
        Duration time = Estimator.duration(expected);
        if (estimator.unloaded(chain) > budget) {
            return Either.left(Problem.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "The whole answer takes about " + time.toMillis() + " ms even without waiting"));
        }
        return Either.left(Problem.notRun(
                        ProblemKind.OVERLOADED,
                        "The whole answer would take about " + time.toMillis() + " ms behind the work that waits")
                .withRetryAfter(retryAfter(expected - budget, random)));
    }

    /**
     * The queue has drained far enough after {@code excess}. Callers told the same time come back together and
     * overload it again, so each is given a time drawn from as long a span after it.
     */
    private static Duration retryAfter(double excess, RandomGenerator random) {
        double wait = Math.min(excess, Estimator.seconds(MOST_RETRY));
        double spread = Math.max(wait, Estimator.seconds(LEAST_SPREAD));
        return Estimator.duration(wait + spread * random.nextDouble());
    }
}
