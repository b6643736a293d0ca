package org.cornelramp.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cornelramp.core.model.OrganisationId;

/**
 * Bounds each organisation's retries and hedged requests to a share of its successful requests.
 *
 * <p>Without the bound, each request that fails in an overload is sent twice, and the overload outlasts its cause.
 * Each success adds a fraction of a retry and each retry consumes one. The balance also grows at a small constant
 * rate, so that an organisation with few requests may retry at all.
 *
 * <p>Invariant: over any time t an organisation gets at most
 * {@code maxBalance + share × successes + reservePerSecond × t} retries. Owned by one thread; holds at most
 * {@value #MAX_ORGANISATIONS} organisations and evicts the least recently used one.
 */
public final class OrganisationRetryBudget {
    /** Largest number of organisations held. */
    public static final int MAX_ORGANISATIONS = 8_192;

    private final double share;
    private final double reservePerSecond;
    private final double maxBalance;
    private final Map<OrganisationId, Account> accounts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<OrganisationId, Account> eldest) {
            return size() > MAX_ORGANISATIONS;
        }
    };

    /**
     * @param share retries that one success adds, such as 0.1
     * @param reservePerSecond retries added each second, without any success
     * @param maxBalance largest balance, in retries
     */
    public OrganisationRetryBudget(double share, double reservePerSecond, double maxBalance) {
        this.share = share;
        this.reservePerSecond = reservePerSecond;
        this.maxBalance = maxBalance;
    }

    /** Returns a budget of 0.1 retries for each success and one retry a second, with a balance of at most ten. */
    public static OrganisationRetryBudget standard() {
        return new OrganisationRetryBudget(0.1, 1, 10);
    }

    /** Records that a request of the organisation succeeded. */
    public void recordSuccess(OrganisationId organisation, Instant now) {
        Account a = account(organisation, now);
        a.balance = Math.min(maxBalance, a.balance + share);
    }

    /** Consumes one retry or hedged request; returns false if none is left. */
    public boolean tryRetry(OrganisationId organisation, Instant now) {
        Account a = account(organisation, now);
        if (a.balance < 1) {
            return false;
        }
        a.balance -= 1;
        return true;
    }

    /** Returns the organisation's balance of retries, for reports. */
    public double remaining(OrganisationId organisation, Instant now) {
        return account(organisation, now).balance;
    }

    private Account account(OrganisationId organisation, Instant now) {
        Account a = accounts.computeIfAbsent(organisation, o -> new Account(maxBalance, now));
        double elapsedSeconds = Math.max(0, Duration.between(a.updatedAt, now).toNanos() / 1e9);
        a.balance = Math.min(maxBalance, a.balance + elapsedSeconds * reservePerSecond);
        a.updatedAt = now.isAfter(a.updatedAt) ? now : a.updatedAt;
        return a;
    }

    private static final class Account {
        private double balance;
        private Instant updatedAt;

        Account(double balance, Instant at) {
            this.balance = balance;
            this.updatedAt = at;
        }
    }
}
