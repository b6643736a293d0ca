package org.cornelramp.core.selection;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * Chooses the chain with the shortest expected time among a few sampled at random.
 *
 * <p>All entries see the same delayed load reports. If each chose the best of all candidates, all would send to the
 * same one until the next heartbeat and overload it. Sampling a few candidates for each request spreads the load and
 * finds a chain almost as good. Immutable, safe for use by any thread.
 */
public final class ExpectedCompletionChooser implements Chooser {
    private static final int SAMPLES_PER_STAGE = 6;
    private static final int CHAINS_COMPARED = 4;
    private static final Duration MIN_RETRY_SPREAD = Duration.ofMillis(250);
    private static final Duration MAX_BASE_RETRY = Duration.ofSeconds(60);

    private final PrefixHints hints;

    public ExpectedCompletionChooser(PrefixHints hints) {
        this.hints = hints;
    }

    /** Returns a chooser that uses other hints. */
    public ExpectedCompletionChooser withHints(PrefixHints newHints) {
        return new ExpectedCompletionChooser(newHints);
    }

    @Override
    public Either<Problem, Choice> choose(
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random) {
        CompletionTimeEstimator estimator = new CompletionTimeEstimator(candidates, request, here, links, hints, now);
        return ChainIndex.of(candidates, request, now, random).flatMap(chains -> {
            List<Candidate> best = selectBestChain(chains, estimator, here, random);
            double budgetSeconds = CompletionTimeEstimator.toSeconds(Duration.between(now, request.deadline()));
            return checkDeadline(best, estimator, budgetSeconds, random);
        });
    }

    private static List<Candidate> selectBestChain(
            ChainIndex chains, CompletionTimeEstimator estimator, DataCentre here, RandomGenerator random) {
        ChainIndex.StageSelector selector = (before, next) -> {
            DataCentre from =
                    before.isEmpty() ? here : before.get(before.size() - 1).dataCentre();
            return cheapestOfSample(next, from, estimator, random);
        };
        List<Candidate> best = chains.buildChain(selector);
        double bestTime = estimator.expectedSeconds(best);
        for (int i = 1; best.size() > 1 && i < CHAINS_COMPARED; i++) {
            List<Candidate> other = chains.buildChain(selector);
            double time = estimator.expectedSeconds(other);
            if (time < bestTime) {
                best = other;
                bestTime = time;
            }
        }
        return best;
    }

    private static Candidate cheapestOfSample(
            List<Candidate> next, DataCentre from, CompletionTimeEstimator estimator, RandomGenerator random) {
        Candidate best = null;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < SAMPLES_PER_STAGE; i++) {
            Candidate c = next.get(random.nextInt(next.size()));
            double cost = estimator.stageCost(c, from);
            if (best == null || cost < bestCost) {
                best = c;
                bestCost = cost;
            }
        }
        return best;
    }

    private static Either<Problem, Choice> checkDeadline(
            List<Candidate> chain, CompletionTimeEstimator estimator, double budgetSeconds, RandomGenerator random) {
        double expected = estimator.expectedSeconds(chain);
        if (expected <= budgetSeconds) {
            return Either.right(new Choice(List.copyOf(chain), CompletionTimeEstimator.toDuration(expected)));
        }
        Duration time = CompletionTimeEstimator.toDuration(expected);
        if (estimator.unloadedSeconds(chain) > budgetSeconds) {
            return Either.left(Problem.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "The complete answer takes about " + time.toMillis() + " ms even without waiting"));
        }
        return Either.left(Problem.notRun(
                        ProblemKind.OVERLOADED,
                        "The complete answer would take about " + time.toMillis() + " ms behind the queued work")
                .withRetryAfter(retryAfter(expected - budgetSeconds, random)));
    }

    /**
     * A random delay of at least {@code excess} seconds, capped at {@link #MAX_BASE_RETRY}, after which the queue has
     * drained far enough. Callers with the same delay would return together and overload the queue again, so the delays
     * are spread over an equally long interval after it, of at least {@link #MIN_RETRY_SPREAD}.
     */
    private static Duration retryAfter(double excess, RandomGenerator random) {
        double wait = Math.min(excess, CompletionTimeEstimator.toSeconds(MAX_BASE_RETRY));
        double spread = Math.max(wait, CompletionTimeEstimator.toSeconds(MIN_RETRY_SPREAD));
        return CompletionTimeEstimator.toDuration(wait + spread * random.nextDouble());
    }
}
