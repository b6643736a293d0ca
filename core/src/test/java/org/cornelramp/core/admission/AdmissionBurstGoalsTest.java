package org.cornelramp.core.admission;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Goals during and after a burst on each of many seeds; the load is that of {@link AdmissionGoalsProperties}. */
public class AdmissionBurstGoalsTest {
    private static final int SEEDS = 20;
    private static final int MANY_GATEWAYS = 24;

    /** Guards against a backlog that makes the requests after a burst late for longer than a second. */
    @Test
    public void aSecondAfterTheBurstAllPrioritiesAreOnTime() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScarceFleet fleet = AdmissionGoalsProperties.run(4, seed);
            double onTime = AdmissionGoalsProperties.share(
                    fleet,
                    stream -> stream.arrival >= AdmissionGoalsProperties.BURST_END + 1_000,
                    ScarceFleet.Stream::onTime);
            assertTrue(onTime >= 0.95, onTime + " of all on time, seed " + seed);
        }
    }

    /** Guards against many gateways that together admit too much, as each knows the others' loads too late. */
    @Test
    public void manyGatewaysLeaveTheMostUrgentPriorityOnTime() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScarceFleet fleet = AdmissionGoalsProperties.run(MANY_GATEWAYS, seed);
            double before = AdmissionGoalsProperties.onTime(fleet, 0, 0, AdmissionGoalsProperties.BURST_START);
            double during = AdmissionGoalsProperties.onTime(
                    fleet, 0, AdmissionGoalsProperties.BURST_START, AdmissionGoalsProperties.BURST_END);
            assertTrue(during >= 0.95 * before, before + " before, " + during + " during the burst, seed " + seed);
        }
    }
}
