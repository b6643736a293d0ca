package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The store turns everyone away for seconds, as it does to a whole fleet at once. */
public class StoreOutageTest {
    private static final long OUTAGE_MILLIS = 3_000;

    /** A long poll of each topic that was under way, and the faults after which the store counts as away. */
    private static final long MOST_READS = 8;

    /**
     * Guards against a fleet that pays for thousands of refused calls: each thread of each gateway asked on its own whether
     * the store is back. What changed meanwhile is in force after its return all the same.
     */
    @Test
    public void onlyTheRenewalAsksWhetherTheStoreIsBack() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture()) {
            long before = fixture.store.reads();
            fixture.store.setRefuses(true);
            Thread.sleep(OUTAGE_MILLIS);
            long during = fixture.store.reads() - before;
            assertTrue(during <= MOST_READS, "reads " + during);
            fixture.store.publishConfig(GatewayFixture.config(2, "/talk/"));
            fixture.store.setRefuses(false);
            GatewayFixture.await(
                    () -> fixture.log().contains("\"event\":\"in force\",\"version\":2"), "version 2 is in force");
            assertEquals(fixture.client().send("/talk/a", "after", "x").statusCode(), 200);
        }
    }
}
