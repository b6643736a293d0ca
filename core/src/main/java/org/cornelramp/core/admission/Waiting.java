package org.cornelramp.core.admission;

import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.OrganisationId;

/**
 * One request in a {@link FairQueue}. Immutable, safe for use by any thread.
 *
 * @param id number of the request, unique in the queue
 * @param organisation whose share it takes
 * @param weight weight of the organisation from the table, at least 1
 * @param priority order within the organisation, 0 (first) to 9 (last)
 * @param cost work in any unit, the same for all requests of one queue: tokens, or microseconds of service
 * @param deadline when the whole answer must be there
 * @param runTime expected time from start to answer
 * @param work what the owner of the queue runs
 */
public record Waiting<T>(
        long id,
        OrganisationId organisation,
        int weight,
        int priority,
        double cost,
        Instant deadline,
        Duration runTime,
        T work) {

    public Waiting {
        if (weight < 1 || !(cost > 0)) {
            throw new IllegalArgumentException("A waiting request needs a weight of 1 or more and a cost above 0");
        }
    }

    /** Start after which the answer is expected too late. */
    public Instant latestStart() {
        return deadline.minus(runTime);
    }
}
