package org.cornelramp.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cornelramp.core.model.OrganisationId;

/**
 * Bounds each organisation's retries and hedges to a share of its successes.
 *
 * <p>Without it every request that fails in an overload comes back as two, and the overload outlives its cause. A
 * success adds a part of a retry, a retry takes a whole one; a small reserve comes in with time, so that an
 * organisation with few requests may retry at all.
 *
 * <p>Invariant: over any time t an organisation gets at most {@code most + share × successes + reserve × t}
 * retries. Owned by one thread; holds at most {@value #MAX_ORGANISATIONS} organisations and forgets the one that
 * was used longest ago.
 */
public final class OrganisationRetryBudget {
    /** Most organisations held. */
    public static final int MAX_ORGANISATIONS = 8_192;

    private final double share;
    private final double reservePerSecond;
    private final double most;
    private final Map<OrganisationId, Account> accounts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<OrganisationId, Account> eldest) {
            return size() > MAX_ORGANISATIONS;
        }
    };

    /**
     * @param share retries that one success earns, such as 0.1
     * @param reservePerSecond retries a second that are earned without successes
     * @param most most retries saved up
     */
    public OrganisationRetryBudget(double share, double reservePerSecond, double most) {
        this.share = share;
        this.reservePerSecond = reservePerSecond;
        this.most = most;
    }

    /** A tenth of the successes, one retry a second without any, ten saved up. */
    public static OrganisationRetryBudget standard() {
        return new OrganisationRetryBudget(0.1, 1, 10);
    }

    /** Notes that a request of the organisation was answered. */
    public void recordSuccess(OrganisationId organisation, Instant now) {
        Account a = account(organisation, now);
        a.balance = Math.min(most, a.balance + share);
    }

    /** Takes one retry or hedge from the budget; false if there is none left. */
    public boolean tryRetry(OrganisationId organisation, Instant now) {
        Account a = account(organisation, now);
        if (a.balance < 1) {
            return false;
        }
        a.balance -= 1;
        return true;
    }

    /** Retries that the organisation has left, for reports. */
    public double left(OrganisationId organisation, Instant now) {
        return account(organisation, now).balance;
    }

    private Account account(OrganisationId organisation, Instant now) {
        Account a = accounts.computeIfAbsent(organisation, o -> new Account(most, now));
        double passed = Math.max(0, Duration.between(a.at, now).toNanos() / 1e9);
        a.balance = Math.min(most, a.balance + passed * reservePerSecond);
        a.at = now.isAfter(a.at) ? now : a.at;
        return a;
    }

    private static final class Account {
        private double balance;
        private Instant at;

        Account(double balance, Instant at) {
            this.balance = balance;
            this.at = at;
        }
    }
}
