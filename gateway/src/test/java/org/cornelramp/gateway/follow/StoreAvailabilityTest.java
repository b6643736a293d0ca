package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** When the store counts as unavailable, and when as available again. */
public class StoreAvailabilityTest {
    /** Guards against a gateway that stops reading because of one lost answer. */
    @Test
    public void singleFaultIsNoOutage() {
        StoreAvailability availability = new StoreAvailability();
        availability.recordFailure();
        assertFalse(availability.isUnavailable());
        availability.recordAnswer(6, 10);
        availability.recordFailure();
        assertFalse(availability.isUnavailable());
        assertFalse(availability.hasRecoveredSince(0));
    }

    /**
     * Guards against threads that wait for the end of their own pause although the store has answered another thread.
     */
    @Test
    public void firstAnswerEndsOutageForAllThreads() {
        StoreAvailability availability = new StoreAvailability();
        availability.recordFailure();
        availability.recordFailure();
        assertTrue(availability.isUnavailable());
        assertFalse(availability.hasEverAnswered());
        availability.recordAnswer(4_990, 5_000);
        assertTrue(availability.hasEverAnswered());
        assertFalse(availability.isUnavailable());
        assertTrue(availability.hasRecoveredSince(4_800));
        assertFalse(availability.hasRecoveredSince(5_001));
    }
}
