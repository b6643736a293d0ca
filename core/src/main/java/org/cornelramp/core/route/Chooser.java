package org.cornelramp.core.route;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Problem;

/** Chooses backend servers for a request. Implementations are pure: all they use comes as arguments. */
public interface Chooser {

    /**
     * Chooses among the candidates, or says why none will do.
     *
     * @param candidates live agents that take new work, of all services
     * @param work the request
     * @param here data centre of the entry
     * @param links expected one-way times between data centres
     * @param now the present time
     * @param random source of the random draws
     */
    Either<Problem, Choice> choose(
            List<Candidate> candidates,
            Work work,
            DataCentre here,
            LinkCosts links,
            Instant now,
            RandomGenerator random);
}
