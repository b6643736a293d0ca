package org.cornelramp.core.selection;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/** Chooses backend servers for a request. Implementations do no I/O: time and randomness come as arguments. */
public interface Chooser {

    /**
     * Chooses among the candidates, or returns the problem that rules out all of them.
     *
     * @param candidates live agents of all services that accept new work
     * @param request the request
     * @param here data centre of the entry
     * @param links expected one-way times between data centres
     * @param now the current time
     * @param random source of randomness
     */
    Either<Problem, Choice> choose(
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random);
}
