package org.cornelramp.core.retry;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.ServiceName;

/**
 * The part of a peer update that shares retries between processes. Immutable, safe for use by any thread.
 *
 * @param asks the sender's open loan request for each service whose retries run low there
 * @param loans the sender's loans to other processes, by service
 */
public record RepeatNews(Map<ServiceName, Ask> asks, Map<ServiceName, List<Loan>> loans) {
    /** The update of a process that requests no loan and lends nothing. */
    public static final RepeatNews NONE = new RepeatNews(Map.of(), Map.of());

    public RepeatNews {
        asks = Map.copyOf(asks);
        loans = Map.copyOf(loans);
    }

    /**
     * A request to each peer for a loan of retries. Immutable, safe for use by any thread.
     *
     * @param id unique among all requests of the process, those before a restart included
     * @param amount retries requested from each peer
     */
    public record Ask(long id, int amount) {}

    /**
     * Retries lent to one process. Immutable, safe for use by any thread.
     *
     * @param to name of the process that may use them
     * @param ask id of the loan request that they answer
     * @param amount number of retries
     */
    public record Loan(String to, long ask, int amount) {}
}
