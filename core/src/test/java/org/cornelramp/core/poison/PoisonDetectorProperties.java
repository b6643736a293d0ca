package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** The order and number of crash reports do not matter, and innocent requests beside a poison request keep running. */
class PoisonDetectorProperties {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    @Property(seed = "4101", tries = 200)
    void orderAndRepetitionOfReportsDoNotMatter(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int count) {
        Random random = new Random(seed);
        List<CrashReport> reports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Set<String> suspects = new HashSet<>();
            for (int j = 0; j < 4; j++) {
                suspects.add("f" + random.nextInt(12));
            }
            reports.add(new CrashReport("c" + i % 20, NOW.minusMillis(random.nextInt(5_000)), suspects));
        }
        PoisonDetector one = detectorWith(reports);
        List<CrashReport> again = new ArrayList<>(reports);
        again.addAll(reports.subList(0, random.nextInt(count)));
        Collections.shuffle(again, random);
        assertEquals(detectorWith(again).marks(NOW), one.marks(NOW));
    }

    @Property(seed = "4102", tries = 30)
    void everyPoisonRequestIsFoundAndHardlyAnyOther(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int poisons) {
        CrashingFleet fleet = new CrashingFleet(20, true, 10, new Random(seed));
        fleet.run(20, poisons, 10, 0);
        for (int p = 0; p < poisons; p++) {
            assertTrue(fleet.isSetAside("poison" + p));
            // Two crashes, plus those of runs that started before the second report arrived or when another request
            // was in progress at both crashes.
            assertTrue(fleet.crashesOf("poison" + p) <= 4, "crashes " + fleet.crashesOf("poison" + p));
        }
        assertTrue(fleet.wronglyRefused.size() <= 2, "innocent requests refused: " + fleet.wronglyRefused);
    }

    @Property(seed = "4103", tries = 10)
    void crashesWithoutAPoisonRequestSeldomBlameOne(@ForAll long seed) {
        CrashingFleet fleet = new CrashingFleet(20, true, 10, new Random(seed));
        fleet.run(30, 0, 20, 1);
        assertTrue(!fleet.isSetAside("popular"));
        assertTrue(fleet.wronglyRefused.size() <= 2, "innocent requests refused: " + fleet.wronglyRefused.size());
    }

    @Property(seed = "4104", tries = 100)
    void boundsHoldAndEverythingExpires(@ForAll long seed) {
        Random random = new Random(seed);
        PoisonDetector detector = new PoisonDetector(Duration.ofSeconds(60), 16, BlameThresholds.OBSERVED);
        Instant now = NOW;
        for (int i = 0; i < 100; i++) {
            now = now.plusMillis(random.nextInt(500));
            detector.recordCrash(new CrashReport("c" + i, now, Set.of("f" + random.nextInt(5))), now);
            detector.addMarks(List.of("x" + i + "@" + now.plusSeconds(999).toEpochMilli(), "junk", "@", "a@b"), now);
            assertTrue(detector.reportsSince(Instant.EPOCH).size() <= 16);
            assertTrue(detector.marks(now).size() <= PoisonDetector.MAX_MARKS);
        }
        assertEquals(detector.marks(now.plusSeconds(61)), List.of());
    }

    private static PoisonDetector detectorWith(List<CrashReport> reports) {
        PoisonDetector detector = PoisonDetector.standard(BlameThresholds.OBSERVED);
        reports.forEach(r -> detector.recordCrash(CrashReport.parse(r.toString()), NOW));
        return detector;
    }
}
