package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** When the store counts as away, and when as back. */
public class StoreAccessTest {
    /** Guards against a gateway that stops reading for one lost answer. */
    @Test
    public void oneFaultIsNoOutage() {
        StoreAccess access = new StoreAccess();
        access.failed();
        assertFalse(access.isAway());
        access.answered(10);
        access.failed();
        assertFalse(access.isAway());
        assertFalse(access.hasReturnedSince(0));
    }

    /** Guards against threads that wait for their own pause although the store has answered another one. */
    @Test
    public void theFirstAnswerEndsTheOutageForAll() {
        StoreAccess access = new StoreAccess();
        access.failed();
        access.failed();
        assertTrue(access.isAway());
        assertFalse(access.hasEverAnswered());
        access.answered(5_000);
        assertTrue(access.hasEverAnswered());
        assertFalse(access.isAway());
        assertTrue(access.hasReturnedSince(4_800));
        assertFalse(access.hasReturnedSince(5_001));
    }
}
