package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cornelramp.core.limit.Limiter;
import org.cornelramp.core.limit.Permit;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.retry.OrganisationRetryBudget;
import org.cornelramp.wire.message.Heartbeat;

/**
 * Decides whether a request may start at this entry: room, requests set aside, the limits of its row.
 *
 * <p>Confined to the router's thread. Invariant: a permit is handed back once, when its request ends.
 */
final class Admission {
    private static final int HEARTBEATS_REPORT_LIVES = 10;

    private final int maxInProgress;
    private final Limiter limiter;
    private final OrganisationRetryBudget retries = OrganisationRetryBudget.standard();
    private final Poison poison;
    private final RandomGenerator random;
    private final Map<String, Admitted> admitted = new HashMap<>();

    private record Admitted(Permit permit, String fingerprint) {}

    Admission(int maxInProgress, long heartbeatMillis, Poison poison, RandomGenerator random) {
        this.maxInProgress = maxInProgress;
        this.limiter = new Limiter(Duration.ofMillis(heartbeatMillis * HEARTBEATS_REPORT_LIVES));
        this.poison = poison;
        this.random = random;
    }

    /**
     * Lets a request start, or says why not.
     *
     * @param tokens most tokens that it may generate; 0 for a plain service
     * @param inProgress requests in progress now
     */
    Optional<Problem> admit(CallerRequest request, String fingerprint, int tokens, int inProgress, Instant now) {
        if (inProgress >= maxInProgress) {
            return Optional.of(Refusals.overloaded("The entry has as many requests in progress as it may."));
        }
        Optional<Problem> setAside = poison.refusal(fingerprint, now);
        if (setAside.isPresent()) {
            return setAside;
        }
        Either<Problem, Permit> permit = limiter.admit(request.row(), tokens, now, random);
        if (permit.isLeft()) {
            return Optional.of(permit.getLeft());
        }
        admitted.put(request.id(), new Admitted(permit.get(), fingerprint));
        return Optional.empty();
    }

    /** Why a request that runs must stop; empty if it may go on. */
    Optional<Problem> stop(String fingerprint, Instant now) {
        return poison.refusal(fingerprint, now);
    }

    /** A request has ended, whether or not it was let start. */
    void ended(CallerRequest request, boolean answered, int tokens, Instant now) {
        if (answered) {
            retries.recordSuccess(request.row().key().organisation(), now);
        }
        Admitted one = admitted.remove(request.id());
        if (one == null) {
            return;
        }
        limiter.release(one.permit(), tokens, now);
        if (answered) {
            poison.completed(one.fingerprint(), now);
        }
    }

    /** Takes one retry from the organisation's budget; false if none is left. */
    boolean mayRetry(OrganisationId organisation, Instant now) {
        return retries.tryRetry(organisation, now);
    }

    /** Takes what an agent's heartbeat tells of limits and crashes. */
    void heard(Incarnation agent, Heartbeat beat, Instant now) {
        limiter.recordReport(agent, beat.entryDemand(), Math.max(1, beat.load().linkedEntries()), now);
        poison.heard(beat, now);
    }

    /** The link to an agent is lost. */
    void lost(Incarnation agent) {
        limiter.removeReport(agent);
    }

    /** Demand of this entry for each limited row, for its heartbeats. */
    Map<String, Double> demand(Instant now) {
        return limiter.demand(now);
    }
}
