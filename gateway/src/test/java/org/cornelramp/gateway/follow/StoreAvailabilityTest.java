package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** When the store counts as unavailable, and when as available again. */
public class StoreAvailabilityTest {
    /** Guards against a gateway that stops reading because of one lost answer. */
    @Test
    public void singleFaultIsNoOutage() {
        StoreAvailability access = new StoreAvailability();
        access.recordFailure();
        assertFalse(access.isUnavailable());
        access.recordAnswer(10);
        access.recordFailure();
        assertFalse(access.isUnavailable());
        assertFalse(access.hasRecoveredSince(0));
    }

    /**
     * Guards against threads that wait for the end of their own pause although the store has answered another thread.
     */
    @Test
    public void firstAnswerEndsOutageForAllThreads() {
        StoreAvailability access = new StoreAvailability();
        access.recordFailure();
        access.recordFailure();
        assertTrue(access.isUnavailable());
        assertFalse(access.hasEverAnswered());
        access.recordAnswer(5_000);
        assertTrue(access.hasEverAnswered());
        assertFalse(access.isUnavailable());
        assertTrue(access.hasRecoveredSince(4_800));
        assertFalse(access.hasRecoveredSince(5_001));
    }
}
