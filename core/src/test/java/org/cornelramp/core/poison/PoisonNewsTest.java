package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What processes tell each other about crashes and the requests that caused them. */
public class PoisonNewsTest {
    private static final long NOW = 1_000_000;
    private static final long SETTLED = NOW + 300;
    private static final long RETENTION_MILLIS = 600_000;

    private PoisonDetector detector;
    private PoisonDetector otherDetector;
    private PoisonNews news;
    private PoisonNews other;

    @BeforeMethod
    public void start() {
        detector = PoisonDetector.standard(BlameThresholds.INFERRED);
        otherDetector = PoisonDetector.standard(BlameThresholds.INFERRED);
        news = new PoisonNews(detector);
        other = new PoisonNews(otherDetector);
    }

    private static CrashReport crash(String id, long atMillis, String... suspects) {
        return new CrashReport(id, Instant.ofEpochMilli(atMillis), Set.of(suspects));
    }

    private static boolean refuses(PoisonDetector detector, String fingerprint, long millis) {
        return detector.isPoison(fingerprint, Instant.ofEpochMilli(millis));
    }

    /** Guards against processes that count only the crashes which they have seen themselves. */
    @Test
    public void crashesOfTwoProcessesAddUp() {
        news.recordCrash(crash("s1", NOW, "p", "i"), NOW);
        other.recordCrash(crash("s2", NOW, "p"), NOW);
        other.recordCrash(crash("s3", NOW, "p"), NOW);
        assertEquals(news.apply(other.update(NOW), NOW).crashes().size(), 2);
        assertEquals(other.apply(news.update(NOW), NOW).crashes().size(), 1);
        assertTrue(refuses(detector, "p", SETTLED) && refuses(otherDetector, "p", SETTLED));
        assertFalse(refuses(detector, "i", SETTLED));
        assertEquals(news.apply(other.update(NOW), NOW).crashes(), List.of(), "it is no news again");
    }

    /**
     * Guards against a process that blames a request of its own before it hears of those of others at the same crashes,
     * and tells its peers to refuse it.
     */
    @Test
    public void nobodyIsBlamedBeforeAllHaveReported() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
            other.recordCrash(crash("s" + i, NOW, "i"), NOW);
        }
        assertFalse(refuses(detector, "p", NOW) || refuses(otherDetector, "i", NOW));
        assertEquals(other.update(NOW).refusals().size(), 0);
        news.apply(other.update(NOW + 100), NOW + 100);
        other.apply(news.update(NOW + 100), NOW + 100);
        assertFalse(refuses(detector, "p", SETTLED + 100) || refuses(otherDetector, "i", SETTLED + 100));
        news.recordCrash(crash("s3", NOW + 500, "p"), NOW + 500);
        assertTrue(refuses(detector, "p", SETTLED + 500), "it was alone at the fourth");
        assertFalse(refuses(detector, "i", SETTLED + 500));
    }

    /** Guards against an innocent request that stays refused because a peer has not heard of all requests at its crashes. */
    @Test
    public void refusalOfAPeerThatKnowsLessIsNotTakenOver() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p", "i"), NOW);
            other.recordCrash(crash("s" + i, NOW, "i"), NOW);
        }
        PoisonUpdate refusal = new PoisonUpdate(List.of(), Map.of("i", 500_000L, "q", 500_000L), Map.of(), Map.of());
        news.apply(refusal, SETTLED);
        assertFalse(refuses(detector, "i", SETTLED));
        assertTrue(refuses(detector, "q", SETTLED), "nothing is known of it here");
        assertEquals(news.update(SETTLED).refusals().keySet(), Set.of("q"));
    }

    /** Guards against a crash that is counted once for each process which sees it. */
    @Test
    public void crashThatTwoProcessesSeeIsOne() {
        for (int i = 0; i < 2; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
            other.recordCrash(crash("s" + i, NOW + 40, "p", "i"), NOW + 40);
        }
        news.apply(other.update(NOW + 50), NOW + 50);
        assertFalse(refuses(detector, "p", NOW + 50));
    }

    /** Guards against a process that has just started and knows nothing of what its peers refuse. */
    @Test
    public void refusalIsTakenOverFromAPeerThatHasNotSeenTheCrashes() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
        }
        long later = NOW + 2 * PoisonNews.TELL_MILLIS;
        assertEquals(news.update(later).crashes(), List.of(), "the crashes are no longer told");
        other.apply(news.update(later), later);
        PoisonDetector third = PoisonDetector.standard(BlameThresholds.INFERRED);
        new PoisonNews(third).apply(other.update(later), later);
        assertTrue(refuses(third, "p", later));
    }

    /** Guards against requests that are identified for ever because a refusal of a peer was known once. */
    @Test
    public void nothingIsKnownOnceARefusalOfAPeerHasEnded() {
        other.apply(new PoisonUpdate(List.of(), Map.of("p", 5_000L), Map.of(), Map.of()), NOW);
        assertFalse(otherDetector.isEmpty(Instant.ofEpochMilli(NOW)));
        assertTrue(otherDetector.isEmpty(Instant.ofEpochMilli(NOW + 5_000)));
    }

    /** Guards against a refusal that processes keep alive by telling it to each other. */
    @Test
    public void refusalEndsAlthoughItIsPassedRound() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
        }
        long at = NOW;
        for (; at < NOW + RETENTION_MILLIS + PoisonNews.PASSING_MILLIS; at += 500) {
            other.apply(news.update(at), at + 400);
            news.apply(other.update(at + 450), at + 850);
        }
        assertFalse(refuses(detector, "p", at) || refuses(otherDetector, "p", at));
    }

    /** Guards against a clearance that one process knows and the others do not, or that an old refusal undoes. */
    @Test
    public void clearanceReachesPeersAndOutlastsTheirRefusals() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
        }
        other.apply(news.update(NOW), NOW);
        PoisonUpdate old = other.update(NOW + 50);
        news.clear("p", NOW + 100);
        news.apply(old, NOW + 150);
        assertFalse(refuses(detector, "p", NOW + 150));
        other.apply(news.update(NOW + 200), NOW + 200);
        assertFalse(refuses(otherDetector, "p", NOW + 200));
    }

    /** Guards against a peer that was cut off while a clearance was told. */
    @Test
    public void clearanceIsToldAgainToAPeerThatStillRefuses() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
        }
        other.apply(news.update(NOW), NOW);
        news.clear("p", NOW + 100);
        long later = NOW + 2 * PoisonNews.TELL_MILLIS;
        other.apply(news.update(later), later);
        assertTrue(refuses(otherDetector, "p", later), "it is no longer told");
        news.apply(other.update(later), later);
        other.apply(news.update(later), later);
        assertFalse(refuses(otherDetector, "p", later));
    }

    /** Guards against a crash that stays believed elsewhere after its server has answered. */
    @Test
    public void signOfLifeReachesPeers() {
        for (int i = 0; i < 3; i++) {
            news.recordCrash(crash("s" + i, NOW, "p"), NOW);
        }
        PoisonUpdate before = news.update(NOW);
        other.apply(before, NOW);
        news.recordSignOfLife("s1", NOW + 300);
        other.apply(news.update(NOW + 310), NOW + 310);
        assertEquals(otherDetector.crashesOf("p"), List.of("s0", "s2"));
        other.apply(before, NOW + 320);
        assertEquals(otherDetector.crashesOf("p"), List.of("s0", "s2"), "a late update does not bring it back");
    }

    /** Guards against updates that outgrow a datagram when many servers crash at once. */
    @Test
    public void updateIsBounded() {
        for (int i = 0; i < 200; i++) {
            Set<String> suspects = new HashSet<>();
            for (int j = 0; j < 1 + i % 30; j++) {
                suspects.add("f" + i + "-" + j);
            }
            suspects.add("p" + i % 50);
            news.recordCrash(new CrashReport("s" + i, Instant.ofEpochMilli(NOW), suspects), NOW);
            news.clear("c" + i, NOW);
            news.recordSignOfLife("l" + i, NOW);
        }
        PoisonUpdate update = news.update(NOW);
        int told = update.crashes().stream()
                .mapToInt(crash -> crash.suspects().size())
                .sum();
        assertTrue(told <= PoisonNews.MAX_SUSPECTS, "suspects " + told);
        assertTrue(update.refusals().size() <= PoisonNews.MAX_OTHERS);
        assertTrue(update.clearances().size() <= PoisonNews.MAX_OTHERS);
        assertTrue(update.signsOfLife().size() <= PoisonNews.MAX_OTHERS);
    }
}
