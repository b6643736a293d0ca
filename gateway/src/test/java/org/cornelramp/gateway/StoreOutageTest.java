package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The store refuses all calls for some seconds, as it does to a whole fleet at once. */
public class StoreOutageTest {
    private static final long OUTAGE_MILLIS = 3_000;

    /** One pending long poll per topic, plus the failures after which the store counts as unavailable. */
    private static final long MAX_READS = 8;

    /**
     * Guards against the cost of thousands of refused calls, which arises if each thread of each gateway polls the
     * store during an outage. Changes made meanwhile must still come into force afterwards.
     */
    @Test
    public void onlyTheLeaseRenewalCallsAnUnavailableStore() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture()) {
            long readsBefore = fixture.store.reads();
            fixture.store.setUnavailable(true);
            Thread.sleep(OUTAGE_MILLIS);
            long readsDuringOutage = fixture.store.reads() - readsBefore;
            assertTrue(readsDuringOutage <= MAX_READS, "reads " + readsDuringOutage);
            fixture.store.publishConfig(GatewayFixture.config(2, "/talk/"));
            fixture.store.setUnavailable(false);
            GatewayFixture.await(
                    () -> fixture.log().contains("\"event\":\"in force\",\"version\":2"), "version 2 is in force");
            assertEquals(fixture.client().send("/talk/a", "after", "x").statusCode(), 200);
        }
    }
}
