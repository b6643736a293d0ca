package org.cornelramp.core.retry;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.ServiceName;

/**
 * What a process tells of its repeats. Immutable, safe for use by any thread.
 *
 * @param wanted repeats that it lacked within the last second, for each service that lacked any
 * @param loans what it lends to others in all
 */
public record RepeatNews(Map<ServiceName, Integer> wanted, List<Loan> loans) {
    /** News of a process that lacks nothing and lends nothing. */
    public static final RepeatNews NONE = new RepeatNews(Map.of(), List.of());

    public RepeatNews {
        wanted = Map.copyOf(wanted);
        loans = List.copyOf(loans);
    }

    /**
     * Repeats to a service lent to one process. Immutable, safe for use by any thread.
     *
     * @param service the service
     * @param to who may use them
     * @param total all that it may use, not only what is new
     */
    public record Loan(ServiceName service, String to, int total) {}
}
