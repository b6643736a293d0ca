package org.cornelramp.core.health;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;

/** Whatever the results of the requests, a group keeps its configured part in use, and shares stay in range. */
class FleetHealthProperties {
    private static final Duration EXPECTED = Duration.ofMillis(10);

    @Property(seed = "5101", tries = 200)
    void theConfiguredPartStaysInUse(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int size) {
        Random random = new Random(seed);
        FleetHealth health = new FleetHealth(HealthSettings.DEFAULTS);
        Instant now = Instant.ofEpochSecond(1_000);
        List<Incarnation> fleet = fleet(health, size, now);
        for (int i = 0; i < 1_000; i++) {
            now = now.plusMillis(random.nextInt(50));
            Incarnation agent = fleet.get(random.nextInt(size));
            if (random.nextInt(10) == 0) {
                health.recordSuccess(agent, Duration.ofMillis(random.nextInt(500)), EXPECTED, now);
            } else {
                health.recordFailure(agent, now);
            }
            health.dueProbe("g", now).ifPresent(p -> health.recordProbe(p, Instant.ofEpochSecond(1_000)));
        }
        Map<Incarnation, Double> shares = health.shares(now);
        assertTrue(shares.size() >= size - size / 2, shares.size() + " of " + size + " in use");
        shares.values().forEach(s -> assertTrue(s > 0 && s <= 1, "share " + s));
    }

    @Property(seed = "5102", tries = 100)
    void aRecoveredAgentRegainsItsShareThroughProbes(
            @ForAll @IntRange(min = 5, max = 50) int failures, @ForAll @IntRange(min = 0, max = 4) int failedProbes) {
        FleetHealth health = new FleetHealth(HealthSettings.DEFAULTS);
        Instant now = Instant.ofEpochSecond(1_000);
        Incarnation failing = fleet(health, 4, now).get(0);
        for (int i = 0; i < failures; i++) {
            health.recordFailure(failing, now);
        }
        assertTrue(!health.shares(now).containsKey(failing));
        for (int i = 0; i <= failedProbes; i++) {
            now = now.plusSeconds(30);
            assertTrue(health.dueProbe("g", now).filter(failing::equals).isPresent());
            health.recordProbe(failing, now);
            assertTrue(health.dueProbe("g", now).isEmpty());
            if (i < failedProbes) {
                health.recordFailure(failing, now);
            }
        }
        health.recordSuccess(failing, EXPECTED, EXPECTED, now);
        double first = health.shares(now).get(failing);
        for (int i = 0; i < 40; i++) {
            health.recordSuccess(failing, EXPECTED, EXPECTED, now);
        }
        double later = health.shares(now.plusSeconds(10)).get(failing);
        assertTrue(first < 0.2 && later > 0.99, "share " + first + " then " + later);
    }

    static List<Incarnation> fleet(FleetHealth health, int size, Instant now) {
        List<Incarnation> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Incarnation agent = new Incarnation(new BackendServerId("b" + i), i);
            fleet.add(agent);
            health.add(agent, "g", now);
        }
        return fleet;
    }
}
