package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.follow.ReadCoordinator;

/**
 * Decides which news every peer must hear at once, and not when its turn comes. Owned by one thread.
 *
 * <p>Invariant: what makes news urgent does so once.
 */
final class NewsUrgency {
    private Set<BackendServerId> toldSuspects = Set.of();
    private Set<Long> toldAsks = Set.of();
    private boolean toldLeaving;
    private Optional<ReadCoordinator.ReadPosition> toldReading = Optional.empty();

    /**
     * Whether the news tell for the first time of a failure, of this gateway's stop, of something new read, or that repeats
     * are lacking: begun streams wait for those, and the peers of one turn may have none to lend.
     */
    boolean isUrgent(PeerNews news) {
        Set<Long> asks = asks(news.repeats().loanRequests().values());
        boolean readMore = news.reading().isPresent() && !news.reading().equals(toldReading);
        boolean urgent = !toldSuspects.containsAll(news.suspects())
                || !toldAsks.containsAll(asks)
                || (news.leaving() && !toldLeaving)
                || readMore;
        toldReading = news.reading();
        toldSuspects = news.suspects();
        toldAsks = asks;
        toldLeaving = news.leaving();
        return urgent;
    }

    private static Set<Long> asks(Collection<RetryLoanUpdate.LoanRequest> asks) {
        return asks.stream().map(RetryLoanUpdate.LoanRequest::id).collect(Collectors.toSet());
    }
}
