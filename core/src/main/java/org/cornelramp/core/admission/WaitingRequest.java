package org.cornelramp.core.admission;

import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;

/**
 * One request that waits in an {@link AdmissionQueue}. All times are instants of the steady clock, in milliseconds.
 * Immutable, safe for use by any thread as far as its work is.
 *
 * @param id number of the request, unique in the queue
 * @param priority priority of its organisation or else of its route, 0 first
 * @param organisation the organisation that is charged for it, if it is known
 * @param cost capacity that it takes, in any unit that is the same for all requests of a queue
 * @param arrivalMillis when it arrived
 * @param targetMillis when its first event must have arrived to count as on time
 * @param patienceMillis when its client leaves
 * @param work payload of the owner of the queue
 */
public record WaitingRequest<T>(
        long id,
        int priority,
        Optional<OrganisationId> organisation,
        double cost,
        long arrivalMillis,
        long targetMillis,
        long patienceMillis,
        T work) {
    public WaitingRequest {
        if (priority < 0 || !(cost > 0)) {
            throw new IllegalArgumentException("A waiting request needs a priority of 0 or more and a cost above 0");
        }
    }
}
