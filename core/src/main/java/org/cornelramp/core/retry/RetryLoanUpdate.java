package org.cornelramp.core.retry;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.ServiceName;

/**
 * The part of a peer update that shares retries between processes. Immutable, safe for use by any thread.
 *
 * @param loanRequests the sender's open loan request for each service whose retries run low there
 * @param loans the sender's loans to other processes, by service
 */
public record RetryLoanUpdate(Map<ServiceName, LoanRequest> loanRequests, Map<ServiceName, List<Loan>> loans) {
    /** The update of a process that requests no loan and lends nothing. */
    public static final RetryLoanUpdate NONE = new RetryLoanUpdate(Map.of(), Map.of());

    public RetryLoanUpdate {
        loanRequests = Map.copyOf(loanRequests);
        loans = Map.copyOf(loans);
    }

    /**
     * A request to each peer for a loan of retries. Immutable, safe for use by any thread.
     *
     * @param id unique among all requests of the process, those before a restart included
     * @param amount retries requested from each peer
     */
    public record LoanRequest(long id, int amount) {}

    /**
     * Retries lent to one process. Immutable, safe for use by any thread.
     *
     * @param borrower name of the process that may use them
     * @param requestId id of the loan request that they answer
     * @param amount number of retries
     */
    public record Loan(String borrower, long requestId, int amount) {}
}
