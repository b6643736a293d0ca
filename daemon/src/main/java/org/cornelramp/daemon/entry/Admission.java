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
 * Decides whether a request may start at this entry, by the entry's capacity, the requests set aside and the limits of
 * the request's row.
 *
 * <p>Confined to the router's thread. Invariant: a permit is released once, when its request ends.
 */
final class Admission {
    private static final int REPORT_LIFETIME_HEARTBEATS = 10;

    private final int maxInProgress;
    private final Limiter limiter;
    private final OrganisationRetryBudget retryBudget = OrganisationRetryBudget.standard();
    private final PoisonTracker poisonTracker;
    private final RandomGenerator random;
    private final Map<String, Admitted> admitted = new HashMap<>();

    private record Admitted(Permit permit, String fingerprint) {}

    Admission(int maxInProgress, long heartbeatMillis, PoisonTracker poisonTracker, RandomGenerator random) {
        this.maxInProgress = maxInProgress;
        this.limiter = new Limiter(Duration.ofMillis(heartbeatMillis * REPORT_LIFETIME_HEARTBEATS));
        this.poisonTracker = poisonTracker;
        this.random = random;
    }

    /**
     * Admits a request, or returns why it may not start.
     *
     * @param tokens maximum number of tokens that it may generate; 0 for a plain service
     * @param inProgress number of requests in progress
     */
    Optional<Problem> admit(CallerRequest request, String fingerprint, int tokens, int inProgress, Instant now) {
        if (inProgress >= maxInProgress) {
            return Optional.of(Refusals.overloaded("The entry has reached its limit of requests in progress."));
        }
        Optional<Problem> setAside = poisonTracker.refusal(fingerprint, now);
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

    /** Returns why a running request must stop; empty if it may continue. */
    Optional<Problem> stopReason(String fingerprint, Instant now) {
        return poisonTracker.refusal(fingerprint, now);
    }

    /** Records the end of a request, whether or not it was admitted. */
    void requestEnded(CallerRequest request, boolean answered, int tokens, Instant now) {
        if (answered) {
            retryBudget.recordSuccess(request.row().key().organisation(), now);
        }
        Admitted entry = admitted.remove(request.id());
        if (entry == null) {
            return;
        }
        limiter.release(entry.permit(), tokens, now);
        if (answered) {
            poisonTracker.recordCompletion(entry.fingerprint(), now);
        }
    }

    /** Takes one retry from the organisation's budget. Returns false if none is left. */
    boolean tryRetry(OrganisationId organisation, Instant now) {
        return retryBudget.tryRetry(organisation, now);
    }

    /** Records the demand and the crashes that an agent's heartbeat reports. */
    void heartbeatReceived(Incarnation agent, Heartbeat heartbeat, Instant now) {
        limiter.recordReport(
                agent, heartbeat.entryDemand(), Math.max(1, heartbeat.load().linkedEntries()), now);
        poisonTracker.heartbeatReceived(heartbeat, now);
    }

    /** Discards the demand report of an agent whose link is lost. */
    void linkLost(Incarnation agent) {
        limiter.removeReport(agent);
    }

    /** Returns the demand of this entry for each limited row, for its heartbeats. */
    Map<String, Double> demand(Instant now) {
        return limiter.demand(now);
    }
}
