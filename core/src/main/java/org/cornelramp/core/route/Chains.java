package org.cornelramp.core.route;

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
 * The chains of backend servers that can serve one request: a single one for a plain service; for a model, stages
 * whose layer ranges follow on from the first layer to the last.
 *
 * <p>Invariants: all stages of a chain hold the same version of the model, since layers of two versions give an
 * answer that belongs to neither; every candidate held here is on some whole chain, so a walk never ends in a gap.
 * Built and read by one thread.
 */
final class Chains {
    private static final long RETRY_MILLIS = 1_000;

    private final Map<Boundary, List<Candidate>> starting;
    private final List<Candidate> heads;

    private Chains(Map<Boundary, List<Candidate>> starting, List<Candidate> heads) {
        this.starting = starting;
        this.heads = heads;
    }

    /** Finds the chains for a request, or says that there is none, or that its deadline has passed. */
    static Either<Problem, Chains> of(List<Candidate> candidates, Work work, Instant now, RandomGenerator random) {
        if (!work.deadline().isAfter(now)) {
            return Either.left(
                    Problem.notRun(ProblemKind.DEADLINE_PASSED, "The deadline had passed before the choice"));
        }
        Map<Boundary, List<Candidate>> starting = new HashMap<>();
        List<Candidate> heads = new ArrayList<>();
        for (Candidate c : candidates) {
            if (!c.offer().service().equals(work.service()) || work.avoid().contains(c.incarnation())) {
                continue;
            }
            if (c.offer().layers().isEmpty()) {
                heads.add(c);
            } else {
                starting.computeIfAbsent(Boundary.before(c), b -> new ArrayList<>())
                        .add(c);
            }
        }
        heads.addAll(prune(starting));
        if (heads.isEmpty()) {
            return Either.left(none(work, random));
        }
        return Either.right(new Chains(starting, heads));
    }

    /** Candidates that may come first. */
    List<Candidate> heads() {
        return heads;
    }

    /** Candidates that may follow {@code stage}; empty if it ends the chain. */
    List<Candidate> after(Candidate stage) {
        if (stage.offer().layers().map(LayerRange::isLast).orElse(true)) {
            return List.of();
        }
        return starting.getOrDefault(Boundary.after(stage), List.of());
    }

    /** Draws a chain, each stage chosen by {@code picker} among those that may come next. */
    List<Candidate> walk(Picker picker) {
        List<Candidate> chain = new ArrayList<>();
        List<Candidate> next = heads;
        while (!next.isEmpty()) {
            Candidate picked = picker.pick(chain, next);
            chain.add(picked);
            next = after(picked);
        }
        return chain;
    }

    /** Removes, from the last layer back, every stage from which the end cannot be reached; returns the heads. */
    private static List<Candidate> prune(Map<Boundary, List<Candidate>> starting) {
        List<Boundary> back = new ArrayList<>(starting.keySet());
        back.sort((a, b) -> Integer.compare(b.layer(), a.layer()));
        List<Candidate> heads = new ArrayList<>();
        for (Boundary at : back) {
            List<Candidate> here = starting.get(at);
            here.removeIf(c -> !Boundary.endsModel(c) && !starting.containsKey(Boundary.after(c)));
            if (here.isEmpty()) {
                starting.remove(at);
            } else if (at.layer() == 0) {
                heads.addAll(here);
            }
        }
        return heads;
    }

    private static Problem none(Work work, RandomGenerator random) {
        String detail = work.avoid().isEmpty()
                ? "No live backend servers make a whole " + work.service() + " now"
                : "No live backend servers are left for " + work.service() + " after those that failed this request";
        long millis = RETRY_MILLIS + random.nextLong(RETRY_MILLIS);
        return Problem.notRun(ProblemKind.NO_BACKEND_SERVER, detail).withRetryAfter(Duration.ofMillis(millis));
    }

    /** Picks the next stage of a chain. */
    @FunctionalInterface
    interface Picker {
        /** Picks one of {@code next}, which is not empty, to follow {@code before}. */
        Candidate pick(List<Candidate> before, List<Candidate> next);
    }

    /** A place between layers of one version of a model. */
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
