package org.cornelramp.core.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.Incarnation;
import org.testng.annotations.Test;

/** Slow and failing agents get a proportionally smaller share; a new one ramps up. */
public class FleetHealthTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final Instant LATER = START.plusSeconds(10);
    private static final Duration EXPECTED = Duration.ofMillis(10);

    @Test
    public void aSlowAgentGetsAProportionallySmallerShare() {
        FleetHealth health = new FleetHealth(HealthSettings.DEFAULTS);
        List<Incarnation> fleet = FleetHealthProperties.fleet(health, 4, START);
        for (int i = 0; i < 50; i++) {
            for (int a = 0; a < 4; a++) {
                health.recordSuccess(fleet.get(a), EXPECTED.multipliedBy(a == 0 ? 12 : 1), EXPECTED, LATER);
            }
        }
        Map<Incarnation, Double> shares = health.shares(LATER);
        assertEquals(shares.get(fleet.get(0)), 0.25, 0.01);
        assertEquals(shares.get(fleet.get(1)), 1.0);
    }

    @Test
    public void aSlowdownOfAllAgentsReducesNoShare() {
        FleetHealth health = new FleetHealth(HealthSettings.DEFAULTS);
        List<Incarnation> fleet = FleetHealthProperties.fleet(health, 4, START);
        for (int i = 0; i < 50; i++) {
            fleet.forEach(a -> health.recordSuccess(a, EXPECTED.multipliedBy(9), EXPECTED, LATER));
        }
        health.shares(LATER).values().forEach(s -> assertEquals(s, 1.0));
    }

    @Test
    public void failingEveryOtherRequestReducesTheShare() {
        FleetHealth health = new FleetHealth(HealthSettings.DEFAULTS);
        Incarnation flaky = FleetHealthProperties.fleet(health, 4, START).get(0);
        for (int i = 0; i < 50; i++) {
            health.recordFailure(flaky, LATER);
            health.recordSuccess(flaky, EXPECTED, EXPECTED, LATER);
        }
        double share = health.shares(LATER).get(flaky);
        assertTrue(share > 0.1 && share < 0.5, "share " + share);
    }

    @Test
    public void aNewAgentRampsUp() {
        FleetHealth health = new FleetHealth(HealthSettings.DEFAULTS);
        Incarnation agent = FleetHealthProperties.fleet(health, 1, START).get(0);
        double first = health.shares(START).get(agent);
        double half = health.shares(START.plusMillis(2_500)).get(agent);
        double whole = health.shares(START.plusSeconds(5)).get(agent);
        assertEquals(new double[] {first, half, whole}, new double[] {0.1, 0.55, 1.0}, 0.001);
    }
}
