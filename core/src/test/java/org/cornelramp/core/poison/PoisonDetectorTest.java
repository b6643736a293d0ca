package org.cornelramp.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.testng.annotations.Test;

/** A request is refused after two crashes; the requests beside it are no longer suspect once the crash is explained. */
public class PoisonDetectorTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    @Test
    public void aRequestAtTwoCrashesIsPoison() {
        SetAside detector = detectorAfter(Set.of("p", "a", "b"));
        assertFalse(detector.isSetAside("p", NOW));
        assertTrue(detector.isSuspect("a", NOW));
        detector.crashed(new CrashReport("second", NOW, Set.of("p", "c")), NOW);
        assertTrue(detector.isSetAside("p", NOW));
        assertFalse(detector.isSetAside("a", NOW));
        assertFalse(detector.isSuspect("a", NOW), "the first crash is explained");
    }

    @Test
    public void anInnocentRequestIsReleasedOnceBothCausesAreKnown() {
        SetAside detector = detectorAfter(Set.of("p", "i"), Set.of("q", "i"));
        assertTrue(detector.isSetAside("i", NOW), "it explains both crashes so far");
        detector.crashed(new CrashReport("p again", NOW, Set.of("p", "x")), NOW);
        detector.crashed(new CrashReport("q again", NOW, Set.of("q", "y")), NOW);
        assertTrue(detector.isSetAside("p", NOW) && detector.isSetAside("q", NOW));
        assertFalse(detector.isSetAside("i", NOW));
    }

    @Test
    public void indistinguishableSuspectsRunApart() {
        SetAside detector = detectorAfter(Set.of("p", "i"), Set.of("p", "i"));
        assertFalse(detector.isSetAside("p", NOW) || detector.isSetAside("i", NOW));
        assertFalse(detector.mayRunBeside("p", List.of("i"), NOW));
        assertTrue(detector.mayRunBeside("p", List.of("other"), NOW));
        detector.crashed(new CrashReport("alone", NOW, Set.of("p")), NOW);
        assertTrue(detector.isSetAside("p", NOW));
        assertFalse(detector.isSetAside("i", NOW));
    }

    @Test
    public void fourSharedCrashesMakeBothPoison() {
        Set<String> both = Set.of("p", "i");
        SetAside detector = detectorAfter(both, both, both, both);
        assertTrue(detector.isSetAside("p", NOW) && detector.isSetAside("i", NOW));
    }

    @Test
    public void aCompletedRequestIsClearedOfEarlierCrashes() {
        SetAside detector = detectorAfter(Set.of("popular", "a"));
        detector.completed("popular", NOW.plusMillis(1));
        detector.crashed(new CrashReport("later", NOW.plusMillis(2), Set.of("popular", "b")), NOW.plusMillis(2));
        assertFalse(detector.isSetAside("popular", NOW.plusMillis(3)));
    }

    @Test
    public void aMarkOfAPeerKeepsItsExpiry() {
        SetAside one = detectorAfter(Set.of("p"), Set.of("p"));
        SetAside other = SetAside.standard();
        Instant later = NOW.plusSeconds(300);
        other.heard(one.marks(NOW), later);
        one.heard(other.marks(later), later);
        assertTrue(other.isSetAside("p", later));
        assertFalse(other.isSetAside("p", NOW.plusSeconds(601)));
        assertFalse(one.isSetAside("p", NOW.plusSeconds(601)));
    }

    @Test
    public void theFingerprintSeparatesItsParts() {
        String one = Fingerprint.of(new OrganisationId("ab"), new ServiceName("c"), new byte[] {1});
        String other = Fingerprint.of(new OrganisationId("a"), new ServiceName("bc"), new byte[] {1});
        assertEquals(one.length(), 64);
        assertNotEquals(one, other);
        assertEquals(one, Fingerprint.of(new OrganisationId("ab"), new ServiceName("c"), new byte[] {1}));
    }

    @SafeVarargs
    private static SetAside detectorAfter(Set<String>... crashes) {
        SetAside detector = SetAside.standard();
        for (int i = 0; i < crashes.length; i++) {
            detector.crashed(new CrashReport("c" + i, NOW, crashes[i]), NOW);
        }
        return detector;
    }
}
