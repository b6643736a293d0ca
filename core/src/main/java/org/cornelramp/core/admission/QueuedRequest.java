package org.cornelramp.core.admission;

import java.time.Duration;
import java.time.Instant;
import org.cornelramp.core.model.OrganisationId;

/**
 * One request in a {@link FairQueue}. Immutable, safe for use by any thread.
 *
 * @param id number of the request, unique in the queue
 * @param organisation the organisation that is charged for it
 * @param weight weight of the organisation from the table, at least 1
 * @param priority order within the organisation, 0 (first) to 9 (last)
 * @param cost work in any unit, the same for all requests of one queue: tokens, or microseconds of service
 * @param deadline when the answer must be complete
 * @param runTime expected time from start to answer
 * @param work payload that the owner of the queue runs
 */
public record QueuedRequest<T>(
        long id,
        OrganisationId organisation,
        int weight,
        int priority,
        double cost,
        Instant deadline,
        Duration runTime,
        T work) {

    public QueuedRequest {
        if (weight < 1 || !(cost > 0)) {
            throw new IllegalArgumentException("A queued request needs a weight of 1 or more and a cost above 0");
        }
    }

    /** Latest start time at which the request is still expected to meet its deadline. */
    public Instant latestStart() {
        return deadline.minus(runTime);
    }
}
