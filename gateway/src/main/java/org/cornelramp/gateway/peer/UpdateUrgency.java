package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.follow.ReadCoordinator;

/**
 * Decides which updates are sent to every peer at once instead of in turn. Confined to one thread.
 *
 * <p>Invariant: each fact makes only the first update that contains it urgent.
 */
final class UpdateUrgency {
    private Set<BackendServerId> sentSuspects = Set.of();
    private Set<Long> sentAskIds = Set.of();
    private Map<BackendServerId, Optional<Double>> sentLimits = Map.of();
    private Set<Object> sentPoison = Set.of();
    private boolean sentLeaving;
    private Optional<ReadCoordinator.ReadPosition> sentReading = Optional.empty();

    /**
     * Whether the update reports one of these for the first time: a failed server, the shutdown of this gateway,
     * progress in reading the store, a limit that a server names, a crash under a request, or a request for retries.
     * Streams that have begun wait for those retries, and the peers of a single turn may have none to lend.
     */
    boolean isUrgent(PeerUpdate update) {
        Set<Long> askIds = askIds(update.retryLoans().loanRequests().values());
        Map<BackendServerId, Optional<Double>> limits = observedLimits(update);
        boolean readingProgressed = update.reading()
                .filter(reading -> sentReading.filter(reading::isAt).isEmpty())
                .isPresent();
        Set<Object> poison = update.poison().observations();
        boolean urgent = !sentSuspects.containsAll(update.suspects())
                || !sentAskIds.containsAll(askIds)
                || !sentLimits.entrySet().containsAll(limits.entrySet())
                || !sentPoison.containsAll(poison)
                || (update.leaving() && !sentLeaving)
                || readingProgressed;
        sentReading = update.reading();
        sentSuspects = update.suspects();
        sentAskIds = askIds;
        sentLimits = limits;
        sentPoison = poison;
        sentLeaving = update.leaving();
        return urgent;
    }

    private static Map<BackendServerId, Optional<Double>> observedLimits(PeerUpdate update) {
        Map<BackendServerId, Optional<Double>> limits = new HashMap<>();
        update.rateLimits().forEach((server, limit) -> limit.observed()
                .ifPresent(observation -> limits.put(server, observation.requestsPerSecond())));
        return limits;
    }

    private static Set<Long> askIds(Collection<RetryLoanUpdate.LoanRequest> asks) {
        return asks.stream().map(RetryLoanUpdate.LoanRequest::id).collect(Collectors.toSet());
    }
}
