package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Blame of parts depends on what is known, not on how it came; a deadly part is found among the parts beside it. */
class PromptPartProperties {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final Instant SETTLED = NOW.plusMillis(250);

    @Property(seed = "5201", tries = 300)
    void orderOfReportsAndClearancesDoesNotMatter(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int count) {
        Random random = new Random(seed);
        PoisonDetector one = PoisonDetector.standard(BlameThresholds.INFERRED);
        PoisonDetector other = PoisonDetector.standard(BlameThresholds.INFERRED);
        List<Runnable> steps = new ArrayList<>();
        List<Runnable> otherSteps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CrashReport report =
                    new CrashReport("s" + random.nextInt(15), NOW.minusMillis(random.nextInt(2_000)), suspects(random));
            String cleared = "part:" + random.nextInt(8);
            Instant at = NOW.minusMillis(1_000 + random.nextInt(2_000));
            steps.add(() -> one.recordCrash(report, NOW));
            steps.add(() -> one.clear(cleared, at, NOW));
            otherSteps.add(() -> other.recordCrash(report, NOW));
            otherSteps.add(() -> other.clear(cleared, at, NOW));
        }
        steps.forEach(Runnable::run);
        otherSteps.addAll(otherSteps.subList(0, random.nextInt(count)));
        Collections.shuffle(otherSteps, random);
        otherSteps.forEach(Runnable::run);
        assertEquals(other.poisonRequests(SETTLED), one.poisonRequests(SETTLED));
    }

    private static Set<String> suspects(Random random) {
        Set<String> suspects = new HashSet<>(Set.of("request" + random.nextInt(40)));
        for (int i = random.nextInt(4); i >= 0; i--) {
            suspects.add("part:" + random.nextInt(8));
        }
        return suspects;
    }

    /** Each crash has the deadly request and some beside it, whose parts are one of six and one of eight. */
    @Property(seed = "5202", tries = 300)
    void deadlyPartIsFoundWithinFiveCrashes(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 6) int beside, @ForAll boolean cleared) {
        Random random = new Random(seed);
        PoisonDetector detector = PoisonDetector.standard(BlameThresholds.INFERRED);
        Instant at = NOW;
        int crashes = 0;
        while (detector.refusalOfParts(deadly(random), at).isEmpty()) {
            Set<String> suspects = new HashSet<>(deadly(random));
            suspects.add("deadly" + crashes);
            for (int i = 0; i < beside; i++) {
                suspects.add("sound" + random.nextInt(1_000_000));
                suspects.addAll(sound(random));
            }
            detector.recordCrash(new CrashReport("s" + crashes++, at, suspects), at);
            at = at.plusMillis(400);
            if (cleared) {
                Map<String, Instant> lived = new HashMap<>();
                for (int i = 0; i < 20; i++) {
                    for (String part : sound(random)) {
                        lived.put(part, at);
                    }
                }
                detector.clear(lived, at);
            }
        }
        assertTrue(crashes <= (beside == 0 || cleared ? 5 : 12), "crashes " + crashes);
        for (int i = 0; i < 20 && cleared; i++) {
            assertTrue(detector.refusalOfParts(sound(random), at).isEmpty());
        }
    }

    private static Set<String> deadly(Random random) {
        return Set.of("part:all", "part:six" + random.nextInt(6), "part:deadly");
    }

    private static Set<String> sound(Random random) {
        return Set.of("part:all", "part:six" + random.nextInt(6), "part:eight" + random.nextInt(8));
    }

    @Property(seed = "5203", tries = 10)
    void boundsHoldAndEverythingExpires(@ForAll long seed) {
        Random random = new Random(seed);
        PoisonDetector detector = PoisonDetector.standard(BlameThresholds.INFERRED);
        Instant now = NOW;
        for (int i = 0; i < 400; i++) {
            now = now.plusMillis(random.nextInt(300));
            detector.recordCrash(new CrashReport("s" + i, now, suspects(random)), now);
            detector.addMark(new PoisonMark("part:x" + i + ",y", now.plusSeconds(random.nextInt(999))), now);
            assertTrue(detector.reportsSince(Instant.EPOCH).size() <= 256);
            assertTrue(detector.poisonRequests(now).size() <= PoisonDetector.MAX_MARKS);
        }
        Instant end = now.plusSeconds(600);
        assertTrue(detector.isEmpty(end));
        assertEquals(detector.unclearedParts(end), Set.of());
        assertTrue(detector.refusalOfParts(Set.of("part:x399", "part:y"), end).isEmpty());
    }
}
