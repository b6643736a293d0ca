package org.cornelramp.core.retry;

import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelramp.core.model.OrganisationId;

/** Retries stay within a share of the successes for any sequence of failures. */
class OrganisationRetryBudgetProperties {
    private static final OrganisationId ORGANISATION = new OrganisationId("o");

    @Property(seed = "6101", tries = 200)
    void retriesStayWithinTheBudget(@ForAll long seed, @ForAll @IntRange(min = 0, max = 100) int failing) {
        Random random = new Random(seed);
        OrganisationRetryBudget budget = OrganisationRetryBudget.standard();
        Instant start = Instant.ofEpochSecond(1_000);
        Instant now = start;
        int successes = 0;
        int retries = 0;
        for (int i = 0; i < 2_000; i++) {
            now = now.plusMillis(random.nextInt(20));
            if (random.nextInt(100) < failing) {
                retries += budget.tryRetry(ORGANISATION, now) ? 1 : 0;
            } else {
                budget.recordSuccess(ORGANISATION, now);
                successes++;
            }
            double seconds = (now.toEpochMilli() - start.toEpochMilli()) / 1e3;
            assertTrue(retries <= 10 + 0.1 * successes + seconds + 1e-6);
        }
    }

    @Property(seed = "6102", tries = 20)
    void failuresOfOneOrganisationDoNotAffectAnother(@ForAll @IntRange(min = 1, max = 1_000) int failures) {
        OrganisationRetryBudget budget = OrganisationRetryBudget.standard();
        Instant now = Instant.ofEpochSecond(1_000);
        for (int i = 0; i < failures; i++) {
            budget.tryRetry(ORGANISATION, now);
        }
        assertTrue(budget.tryRetry(new OrganisationId("other"), now));
    }
}
