package org.cornelramp.core.selection;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * The chains of backend servers that can serve one request: a single server for a plain service; for a model, stages
 * whose layer ranges are contiguous from the first layer to the last.
 *
 * <p>Invariants: all stages of a chain hold the same version of the model, since layers of two versions give an
 * answer that belongs to neither; every candidate held here is part of a complete chain, so {@link #buildChain} never
 * reaches a dead end. Confined to one thread.
 */
final class ChainIndex {
    private static final long MIN_RETRY_MILLIS = 1_000;

    private final Map<Boundary, List<Candidate>> byBoundary;
    private final List<Candidate> firstStages;

    private ChainIndex(Map<Boundary, List<Candidate>> byBoundary, List<Candidate> firstStages) {
        this.byBoundary = byBoundary;
        this.firstStages = firstStages;
    }

    /** Finds the chains for a request, or a problem if there is none or if its deadline has passed. */
    static Either<Problem, ChainIndex> of(
            List<Candidate> candidates, RoutingRequest request, Instant now, RandomGenerator random) {
        if (!request.deadline().isAfter(now)) {
            return Either.left(Problem.notRun(
                    ProblemKind.DEADLINE_PASSED, "The deadline had passed before a backend server was chosen"));
        }
        Map<Boundary, List<Candidate>> byBoundary = new HashMap<>();
        List<Candidate> firstStages = new ArrayList<>();
        for (Candidate c : candidates) {
            if (!c.offer().service().equals(request.service())
                    || request.excludedAgents().contains(c.incarnation())) {
                continue;
            }
            if (c.offer().layers().isEmpty()) {
                firstStages.add(c);
            } else {
                byBoundary
                        .computeIfAbsent(Boundary.before(c), b -> new ArrayList<>())
                        .add(c);
            }
        }
        firstStages.addAll(removeDeadEnds(byBoundary));
        if (firstStages.isEmpty()) {
            return Either.left(noChainProblem(request, random));
        }
        return Either.right(new ChainIndex(byBoundary, firstStages));
    }

    /** Candidates for the first stage. */
    List<Candidate> firstStages() {
        return firstStages;
    }

    /** Candidates for the stage after {@code stage}; empty if that is the last one. */
    List<Candidate> successors(Candidate stage) {
        if (stage.offer().layers().map(LayerRange::isLast).orElse(true)) {
            return List.of();
        }
        return byBoundary.getOrDefault(Boundary.after(stage), List.of());
    }

    /** Builds a chain; {@code selector} chooses each stage among the candidates for it. */
    List<Candidate> buildChain(StageSelector selector) {
        List<Candidate> chain = new ArrayList<>();
        List<Candidate> next = firstStages;
        while (!next.isEmpty()) {
            Candidate selected = selector.select(chain, next);
            chain.add(selected);
            next = successors(selected);
        }
        return chain;
    }

    /** Removes, from the last layer back, stages from which the last layer is unreachable; returns the first stages. */
    private static List<Candidate> removeDeadEnds(Map<Boundary, List<Candidate>> byBoundary) {
        List<Boundary> boundaries = new ArrayList<>(byBoundary.keySet());
        boundaries.sort((a, b) -> Integer.compare(b.layer(), a.layer()));
        List<Candidate> firstStages = new ArrayList<>();
        for (Boundary boundary : boundaries) {
            List<Candidate> stages = byBoundary.get(boundary);
            stages.removeIf(c -> !Boundary.endsModel(c) && !byBoundary.containsKey(Boundary.after(c)));
            if (stages.isEmpty()) {
                byBoundary.remove(boundary);
            } else if (boundary.layer() == 0) {
                firstStages.addAll(stages);
            }
        }
        return firstStages;
    }

    private static Problem noChainProblem(RoutingRequest request, RandomGenerator random) {
        String detail = request.excludedAgents().isEmpty()
                ? "No live backend servers hold all parts of " + request.service() + " now"
                : "No live backend servers are left for " + request.service() + " after those that failed this request";
        long millis = MIN_RETRY_MILLIS + random.nextLong(MIN_RETRY_MILLIS);
        return Problem.notRun(ProblemKind.NO_BACKEND_SERVER, detail).withRetryAfter(Duration.ofMillis(millis));
    }

    /** Selects the next stage of a chain. */
    @FunctionalInterface
    interface StageSelector {
        /** Selects one of {@code next}, which is not empty, to follow {@code before}. */
        Candidate select(List<Candidate> before, List<Candidate> next);
    }

    /** A boundary between two layers of one version of a model. */
    private record Boundary(String version, int total, int layer) {

        static Boundary before(Candidate c) {
            LayerRange range = c.offer().layers().orElseThrow();
            return new Boundary(c.offer().version(), range.total(), range.from());
        }

        static Boundary after(Candidate c) {
            LayerRange range = c.offer().layers().orElseThrow();
            return new Boundary(c.offer().version(), range.total(), range.to());
        }

        static boolean endsModel(Candidate c) {
            return c.offer().layers().orElseThrow().isLast();
        }
    }
}
