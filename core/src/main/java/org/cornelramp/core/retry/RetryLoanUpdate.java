package org.cornelramp.core.retry;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.ServiceName;

/**
 * What a process tells of its repeats. Immutable, safe for use by any thread.
 *
 * @param loanRequests what it lacks now, for each service for which it lacks any
 * @param loans what it has just lent to others, for each service of which it lends
 */
public record RetryLoanUpdate(Map<ServiceName, LoanRequest> loanRequests, Map<ServiceName, List<Loan>> loans) {
    /** News of a process that lacks nothing and lends nothing. */
    public static final RetryLoanUpdate NONE = new RetryLoanUpdate(Map.of(), Map.of());

    public RetryLoanUpdate {
        loanRequests = Map.copyOf(loanRequests);
        loans = Map.copyOf(loans);
    }

    /**
     * Asks each peer for some repeats. Immutable, safe for use by any thread.
     *
     * @param id tells it from all other asks, of earlier lives of the process as well
     * @param amount repeats wanted of each peer
     */
    public record LoanRequest(long id, int amount) {}

    /**
     * Repeats lent to one process. Immutable, safe for use by any thread.
     *
     * @param borrower who may use them
     * @param requestId the ask that they answer
     * @param amount how many they are
     */
    public record Loan(String borrower, long requestId, int amount) {}
}
