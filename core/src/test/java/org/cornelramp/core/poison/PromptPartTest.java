package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests that share a part of their prompts under which servers crash are refused; those that share the others are not. */
public class PromptPartTest {
    private static final BlameThresholds THRESHOLDS = new BlameThresholds(3, 5, 4, Duration.ofMillis(250));

    private static final long NOW = 1_000_000;
    private static final long SETTLED = NOW + 300;
    private static final long MINUTES_10 = 600_000;

    private PoisonDetector detector;

    @BeforeMethod
    public void start() {
        detector = PoisonDetector.standard(THRESHOLDS);
    }

    private static Instant at(long millis) {
        return Instant.ofEpochMilli(millis);
    }

    private static Set<String> parts(String... ids) {
        return Arrays.stream(ids).map(PromptParts::name).collect(Collectors.toSet());
    }

    /** A crash under one request with these parts. */
    private static CrashReport crash(String id, long millis, String request, String... parts) {
        Set<String> suspects = new HashSet<>(parts(parts));
        suspects.add(request);
        return new CrashReport(id, at(millis), suspects);
    }

    private void record(String id, long millis, String request, String... parts) {
        detector.recordCrash(crash(id, millis, request, parts), at(millis));
    }

    private boolean refuses(long millis, String... parts) {
        return detector.refusalOfParts(parts(parts), at(millis)).isPresent();
    }

    /** Guards against requests that are all new, and are sent on because none of them was at two crashes. */
    @Test
    public void partAtFourCrashesIsRefused() {
        for (int i = 0; i < 4; i++) {
            assertFalse(refuses(NOW + 300L * i, "bad"), "after " + i);
            record("s" + i, NOW + 300L * i, "r" + i, "bad", "a" + i);
        }
        assertFalse(refuses(NOW + 900, "bad"), "the others may still report");
        assertTrue(refuses(NOW + 1_200, "bad", "other"));
        assertFalse(refuses(NOW + 1_200, "a0", "a1", "a2", "a3"));
        assertEquals(detector.crashesOf("part:bad").size(), 4);
    }

    /** Guards against refusals of sound requests that share a part with the deadly ones. */
    @Test
    public void partsAtTheSameCrashesAreRefusedOnlyTogether() {
        for (int i = 0; i < 4; i++) {
            record("s" + i, NOW, "r" + i, "bad", "shared");
        }
        assertTrue(refuses(SETTLED, "bad", "shared", "x"));
        assertFalse(refuses(SETTLED, "shared", "x"));
        assertFalse(refuses(SETTLED, "bad", "x"), "its fate tells them apart");
        record("alone", NOW + 400, "r9", "bad", "x");
        assertTrue(refuses(NOW + 700, "bad", "x"));
        assertFalse(refuses(NOW + 700, "shared", "x"));
    }

    /** Guards against a group that stays wide although a run has lived on a part of it. */
    @Test
    public void clearedPartLeavesItsGroup() {
        for (int i = 0; i < 4; i++) {
            record("s" + i, NOW, "r" + i, "bad", "shared");
        }
        assertEquals(
                detector.clear(Map.of("part:shared", at(NOW + 100), "part:x", at(NOW)), at(NOW + 100)),
                parts("shared"));
        assertTrue(refuses(SETTLED, "bad"));
        assertFalse(refuses(SETTLED, "shared"));
        assertEquals(detector.unclearedParts(at(SETTLED)), parts("bad"));
    }

    /** Guards against clearances that hold for the crashes after them, or that are told round without effect. */
    @Test
    public void partIsClearedOnlyOfTheCrashesBefore() {
        record("s0", NOW, "r0", "a");
        assertEquals(detector.clear(Map.of("part:a", at(NOW)), at(NOW)), Set.of());
        assertEquals(detector.clear(Map.of("part:a", at(NOW + 1)), at(NOW + 1)), parts("a"));
        assertEquals(detector.clear(Map.of("part:a", at(NOW + 2)), at(NOW + 2)), Set.of());
        for (int i = 1; i < 5; i++) {
            record("s" + i, NOW + 10, "r" + i, "a");
        }
        assertTrue(refuses(SETTLED + 10, "a"));
    }

    /** Guards against blame of a part that only one request holds, which comes again and crashes servers by itself. */
    @Test
    public void requestThatComesAgainExplainsItsCrashes() {
        for (int i = 0; i < 6; i++) {
            record("s" + i, NOW, "again", "rare");
        }
        record("other", NOW, "r1", "rare");
        assertTrue(detector.isPoison("again", at(SETTLED)));
        assertFalse(refuses(SETTLED, "rare"));
        record("another", NOW, "r2", "rare");
        assertTrue(refuses(SETTLED, "rare"), "two other requests crashed as well");
    }

    /**
     * Guards against blame of a part that two requests hold which come again and crash servers by themselves, and which
     * would be let through again.
     */
    @Test(groups = "known-red")
    public void twoRequestsThatComeAgainExplainTheirCrashes() {
        for (int i = 0; i < 3; i++) {
            record("s" + i, NOW, "again", "shared", "a" + i);
            record("t" + i, NOW, "other", "shared", "b" + i);
        }
        assertFalse(refuses(SETTLED, "shared"));
        assertTrue(detector.isPoison("again", at(SETTLED)));
        assertTrue(detector.isPoison("other", at(SETTLED)));
        record("u0", NOW, "r0", "shared");
        assertFalse(refuses(SETTLED, "shared"));
        record("u1", NOW, "r1", "shared");
        assertTrue(refuses(SETTLED, "shared"), "two other requests crashed as well");
    }

    /** Guards against whole requests that are refused for crashes which a part of their prompts explains. */
    @Test
    public void partExplainsTheCrashesOfItsRequests() {
        for (int i = 0; i < 3; i++) {
            record("s" + i, NOW, "retried", "bad");
            record("t" + i, NOW, "r" + i, "bad");
        }
        assertTrue(refuses(SETTLED, "bad"));
        assertFalse(detector.isPoison("retried", at(SETTLED)));
        assertFalse(detector.isSuspect("retried", at(SETTLED)));
    }

    /** Guards against crashes for other reasons that hide a deadly part, or that make another one look like it. */
    @Test
    public void crashesForOtherReasonsChangeNothing() {
        for (int i = 0; i < 5; i++) {
            record("s" + i, NOW, "r" + i, "bad", "a" + i % 2, "b" + i % 3);
            record("o" + i, NOW, "q" + i, "c" + i % 2, "b" + i % 3);
        }
        assertTrue(refuses(SETTLED, "bad"));
        for (String sound : List.of("a0", "a1", "b0", "b1", "b2", "c0", "c1")) {
            assertFalse(refuses(SETTLED, sound), sound);
        }
    }

    /** Guards against two deadly parts of which the weaker one is taken for explained. */
    @Test
    public void twoDeadlyPartsAreBothRefused() {
        for (int i = 0; i < 5; i++) {
            record("s" + i, NOW, "r" + i, "bad", "a" + i);
            record("t" + i, NOW, "q" + i, i == 0 ? "bad" : "x" + i, "worse");
        }
        assertTrue(refuses(SETTLED, "bad") && refuses(SETTLED, "worse"));
    }

    /** Guards against a blame that never settles while crashes go on. */
    @Test
    public void crashesAtShortIntervalsDoNotPutOffTheBlame() {
        long millis = NOW;
        for (int i = 0; i < 20; i++, millis += 100) {
            record("s" + i, millis, "r" + i, "bad");
            assertEquals(refuses(millis, "bad"), i >= 6, "crash " + i);
        }
    }

    /** Guards against refusals that start or end only when the next report arrives. */
    @Test
    public void refusalStartsAndEndsByTimeAlone() {
        for (int i = 0; i < 4; i++) {
            record("s" + i, NOW, "r" + i, "bad");
        }
        assertFalse(refuses(NOW + 249, "bad"));
        assertTrue(refuses(NOW + 250, "bad"));
        assertTrue(refuses(NOW + MINUTES_10 - 1, "bad"));
        assertFalse(refuses(NOW + MINUTES_10, "bad"));
        assertTrue(detector.isEmpty(at(NOW + MINUTES_10)));
    }

    /** Guards against an operator who cannot lift a refusal by the name that the log gives. */
    @Test
    public void groupIsClearedByItsName() {
        for (int i = 0; i < 4; i++) {
            record("s" + i, NOW, "r" + i, "b", "a");
        }
        PoisonMark refusal =
                detector.refusalOfParts(parts("a", "b"), at(SETTLED)).orElseThrow();
        assertEquals(refusal, new PoisonMark("part:a,b", at(NOW + MINUTES_10)));
        assertEquals(detector.poisonRequests(at(SETTLED)), List.of(refusal));
        assertTrue(detector.clear("part:a,b", at(SETTLED), at(SETTLED)));
        assertFalse(refuses(SETTLED, "a", "b"));
    }

    /** Guards against reports of many requests that lose the parts on their way. */
    @Test
    public void partsAreKeptWhereSuspectsAreMany() {
        Set<String> suspects = new HashSet<>(parts("f"));
        for (int i = 0; i < 2 * CrashReport.MAX_SUSPECTS; i++) {
            suspects.add("request" + i);
        }
        CrashReport report = new CrashReport("s", at(NOW), suspects);
        assertEquals(report.suspects().size(), CrashReport.MAX_SUSPECTS);
        assertTrue(report.suspects().contains("part:f"));
        assertEquals(CrashReport.parse(report.toString()), report);
    }
}
