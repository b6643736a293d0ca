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

/** What processes tell each other about parts of prompts under which servers crash. */
public class PromptPartNewsTest {
    private static final BlameThresholds THRESHOLDS = new BlameThresholds(3, 5, 4, Duration.ofMillis(250));

    private static final long NOW = 1_000_000;
    private static final long SETTLED = NOW + 300;
    private static final long LATER = NOW + 2 * PoisonNews.TELL_MILLIS;

    private PoisonDetector detector;
    private PoisonDetector otherDetector;
    private PoisonNews news;
    private PoisonNews other;

    @BeforeMethod
    public void start() {
        detector = PoisonDetector.standard(THRESHOLDS);
        otherDetector = PoisonDetector.standard(THRESHOLDS);
        news = new PoisonNews(detector);
        other = new PoisonNews(otherDetector);
    }

    private static Set<String> parts(String... ids) {
        return Arrays.stream(ids).map(PromptParts::name).collect(Collectors.toSet());
    }

    private static void crash(PoisonNews news, String id, String request, String... ids) {
        Set<String> suspects = new HashSet<>(parts(ids));
        suspects.add(request);
        news.recordCrash(new CrashReport(id, Instant.ofEpochMilli(NOW), suspects), NOW);
    }

    private static boolean refuses(PoisonDetector detector, long millis, String... ids) {
        return detector.refusalOfParts(parts(ids), Instant.ofEpochMilli(millis)).isPresent();
    }

    /** Guards against crashes that are at four processes, one at each, and are nowhere enough. */
    @Test
    public void crashesAtSeveralProcessesAddUp() {
        crash(news, "s0", "r0", "bad", "a");
        crash(news, "s1", "r1", "bad", "b");
        crash(other, "s2", "r2", "bad", "a");
        crash(other, "s3", "r3", "bad", "b");
        news.apply(other.update(NOW), NOW);
        other.apply(news.update(NOW), NOW);
        assertTrue(refuses(detector, SETTLED, "bad") && refuses(otherDetector, SETTLED, "bad"));
        assertFalse(refuses(detector, SETTLED, "a", "b"));
    }

    /** Guards against a process that has just started and sends what all others refuse. */
    @Test
    public void refusalIsTakenOverFromAPeer() {
        for (int i = 0; i < 4; i++) {
            crash(news, "s" + i, "r" + i, "bad", "a");
        }
        other.apply(news.update(LATER), LATER);
        assertTrue(refuses(otherDetector, LATER, "bad", "a"));
        assertFalse(refuses(otherDetector, LATER, "a"));
        assertEquals(other.update(LATER).refusals().keySet(), Set.of("part:a,bad"), "it is passed on");
    }

    /** Guards against a clearance that one process knows, and a group that is wider at the others. */
    @Test
    public void clearanceReachesPeers() {
        for (int i = 0; i < 4; i++) {
            crash(news, "s" + i, "r" + i, "bad", "a");
        }
        other.apply(news.update(NOW), NOW);
        assertEquals(other.recordHarmless(Map.of("part:a", NOW + 100), NOW + 100), parts("a"));
        news.apply(other.update(NOW + 110), NOW + 120);
        assertTrue(refuses(detector, SETTLED, "bad") && refuses(otherDetector, SETTLED, "bad"));
        assertFalse(refuses(detector, SETTLED, "a") || refuses(otherDetector, SETTLED, "a"));
    }

    /** Guards against a process that has just started, and hears of crashes but not of what was cleared of them. */
    @Test
    public void clearedPartIsNoLongerToldAsASuspect() {
        for (int i = 0; i < 4; i++) {
            crash(news, "s" + i, "r" + i, "shared", "own" + i);
        }
        news.apply(new PoisonUpdate(List.of(), Map.of(), Map.of("part:shared", 0L), Map.of()), NOW + 100);
        other.apply(news.update(NOW + 110), NOW + 120);
        assertFalse(refuses(detector, NOW + 500, "shared") || refuses(otherDetector, NOW + 500, "shared"));
    }

    /** Guards against a refusal of a peer that is kept as it was when a part of it is cleared, or all of them. */
    @Test
    public void refusalOfAPeerShrinksWithTheClearances() {
        PoisonUpdate refusal = new PoisonUpdate(List.of(), Map.of("part:a,bad", 500_000L), Map.of(), Map.of());
        news.apply(refusal, NOW);
        assertFalse(refuses(detector, NOW, "bad"));
        news.apply(new PoisonUpdate(List.of(), Map.of(), Map.of("part:a", 0L), Map.of()), NOW);
        assertTrue(refuses(detector, NOW, "bad"));
        news.apply(refusal, NOW + 10);
        assertTrue(refuses(detector, NOW + 10, "bad"));
        assertEquals(news.update(NOW + 10).clearances().keySet(), parts("a"), "the peer has not heard of it");
        news.clear("part:bad", NOW + 20);
        assertFalse(refuses(detector, NOW + 20, "a", "bad"));
        news.apply(refusal, NOW + 30);
        assertFalse(refuses(detector, NOW + 30, "a", "bad"));
    }

    /** Guards against the refusal of a peer that knows fewer crashes, and so takes more parts for deadly. */
    @Test
    public void refusalOfAPeerThatKnowsLessIsNotTakenOver() {
        for (int i = 0; i < 4; i++) {
            crash(news, "s" + i, "r" + i, "bad", "a");
        }
        crash(news, "s4", "r4", "bad");
        news.apply(new PoisonUpdate(List.of(), Map.of("part:a", 500_000L), Map.of(), Map.of()), SETTLED);
        assertFalse(refuses(detector, SETTLED, "a"));
    }

    /** Guards against refusals of parts that processes keep alive by telling them to each other. */
    @Test
    public void refusalEndsAlthoughItIsPassedRound() {
        for (int i = 0; i < 4; i++) {
            crash(news, "s" + i, "r" + i, "bad");
        }
        long millis = NOW;
        for (; millis < NOW + 600_000 + PoisonNews.PASSING_MILLIS; millis += 500) {
            other.apply(news.update(millis), millis + 400);
            news.apply(other.update(millis + 450), millis + 850);
        }
        assertFalse(refuses(detector, millis, "bad") || refuses(otherDetector, millis, "bad"));
    }

    /** Guards against a deadly part that is crowded out of the updates by the requests beside it. */
    @Test
    public void partsAtMostCrashesAreToldFirst() {
        for (int i = 0; i < 4; i++) {
            Set<String> suspects = new HashSet<>(parts("bad"));
            for (int j = 0; j < 60; j++) {
                suspects.add("request" + i + "-" + j);
                suspects.add(PromptParts.name("a" + i + "-" + j));
            }
            news.recordCrash(new CrashReport("s" + i, Instant.ofEpochMilli(NOW + i), suspects), NOW + i);
            other.apply(news.update(NOW + i), NOW + i);
        }
        assertTrue(refuses(otherDetector, SETTLED, "bad"));
    }

    /** Guards against updates that outgrow a datagram because callers choose long ids. */
    @Test
    public void longNamesAreBounded() {
        for (int i = 0; i < 40; i++) {
            String id = "0".repeat(60) + (1_000 + i);
            for (int crash = 0; crash < 4; crash++) {
                crash(news, "s" + i + "-" + crash, "r" + i + "-" + crash, id);
            }
            news.clear(PromptParts.name("f".repeat(60) + i), NOW);
        }
        PoisonUpdate update = news.update(SETTLED);
        Set<String> told = update.crashes().stream()
                .flatMap(crash -> crash.suspects().stream().filter(PromptParts::isPart))
                .collect(Collectors.toSet());
        for (Set<String> names :
                List.of(told, update.refusals().keySet(), update.clearances().keySet())) {
            int letters = names.stream().mapToInt(String::length).sum();
            assertTrue(letters > 0 && letters <= PoisonNews.MAX_PART_LETTERS, "letters " + letters);
        }
    }
}
