package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.testng.annotations.Test;

/** A request is refused after two crashes; the requests beside it are no longer suspect once the crash is explained. */
public class PoisonDetectorTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    @Test
    public void aRequestAtTwoCrashesIsPoison() {
        PoisonDetector detector = detectorAfter(Set.of("p", "a", "b"));
        assertFalse(detector.isPoison("p", NOW));
        assertTrue(detector.isSuspect("a", NOW));
        detector.recordCrash(new CrashReport("second", NOW, Set.of("p", "c")), NOW);
        assertTrue(detector.isPoison("p", NOW));
        assertFalse(detector.isPoison("a", NOW));
        assertFalse(detector.isSuspect("a", NOW), "the first crash is explained");
    }

    @Test
    public void anInnocentRequestIsReleasedOnceBothCausesAreKnown() {
        PoisonDetector detector = detectorAfter(Set.of("p", "i"), Set.of("q", "i"));
        assertTrue(detector.isPoison("i", NOW), "it explains both crashes so far");
        detector.recordCrash(new CrashReport("p again", NOW, Set.of("p", "x")), NOW);
        detector.recordCrash(new CrashReport("q again", NOW, Set.of("q", "y")), NOW);
        assertTrue(detector.isPoison("p", NOW) && detector.isPoison("q", NOW));
        assertFalse(detector.isPoison("i", NOW));
    }

    @Test
    public void indistinguishableSuspectsRunApart() {
        PoisonDetector detector = detectorAfter(Set.of("p", "i"), Set.of("p", "i"));
        assertFalse(detector.isPoison("p", NOW) || detector.isPoison("i", NOW));
        assertFalse(detector.mayRunBeside("p", List.of("i"), NOW));
        assertTrue(detector.mayRunBeside("p", List.of("other"), NOW));
        detector.recordCrash(new CrashReport("alone", NOW, Set.of("p")), NOW);
        assertTrue(detector.isPoison("p", NOW));
        assertFalse(detector.isPoison("i", NOW));
    }

    @Test
    public void fourSharedCrashesMakeBothPoison() {
        Set<String> both = Set.of("p", "i");
        PoisonDetector detector = detectorAfter(both, both, both, both);
        assertTrue(detector.isPoison("p", NOW) && detector.isPoison("i", NOW));
    }

    @Test
    public void aCompletedRequestIsClearedOfEarlierCrashes() {
        PoisonDetector detector = detectorAfter(Set.of("popular", "a"));
        detector.recordCompletion("popular", NOW.plusMillis(1));
        detector.recordCrash(new CrashReport("later", NOW.plusMillis(2), Set.of("popular", "b")), NOW.plusMillis(2));
        assertFalse(detector.isPoison("popular", NOW.plusMillis(3)));
    }

    @Test
    public void aMarkOfAPeerKeepsItsExpiry() {
        PoisonDetector one = detectorAfter(Set.of("p"), Set.of("p"));
        PoisonDetector other = PoisonDetector.standard(BlameThresholds.OBSERVED);
        Instant later = NOW.plusSeconds(300);
        other.addMarks(one.marks(NOW), later);
        one.addMarks(other.marks(later), later);
        assertTrue(other.isPoison("p", later));
        assertFalse(other.isPoison("p", NOW.plusSeconds(601)));
        assertFalse(one.isPoison("p", NOW.plusSeconds(601)));
    }

    @Test
    public void theFingerprintSeparatesItsParts() {
        String one = Fingerprint.of(new OrganisationId("ab"), new ServiceName("c"), new byte[] {1});
        String other = Fingerprint.of(new OrganisationId("a"), new ServiceName("bc"), new byte[] {1});
        assertEquals(one.length(), 64);
        assertNotEquals(one, other);
        assertEquals(one, Fingerprint.of(new OrganisationId("ab"), new ServiceName("c"), new byte[] {1}));
    }

    /** Guards against requests of one caller that count as one because only their paths or methods differ. */
    @Test
    public void theFingerprintOfAnHttpRequestSeparatesItsParts() {
        Optional<OrganisationId> caller = Optional.of(new OrganisationId("ab"));
        byte[] body = {1};
        String one = Fingerprint.ofHttp(caller, "GET", "host", "/a?b", body);
        assertEquals(one.length(), 32);
        assertEquals(one, Fingerprint.ofHttp(caller, "GET", "host", "/a?b", new byte[] {1}));
        assertNotEquals(one, Fingerprint.ofHttp(Optional.empty(), "GET", "host", "/a?b", body));
        assertNotEquals(one, Fingerprint.ofHttp(caller, "PUT", "host", "/a?b", body));
        assertNotEquals(one, Fingerprint.ofHttp(caller, "GET", "other", "/a?b", body));
        assertNotEquals(one, Fingerprint.ofHttp(caller, "GET", "host", "/a?c", body));
        assertNotEquals(one, Fingerprint.ofHttp(caller, "GET", "host", "/a?b", new byte[] {2}));
    }

    @SafeVarargs
    private static PoisonDetector detectorAfter(Set<String>... crashes) {
        PoisonDetector detector = PoisonDetector.standard(BlameThresholds.OBSERVED);
        for (int i = 0; i < crashes.length; i++) {
            detector.recordCrash(new CrashReport("c" + i, NOW, crashes[i]), NOW);
        }
        return detector;
    }
}
