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

/** Two crashes set a request aside; what ran beside it is cleared once the crash is explained. */
public class SetAsideTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    @Test
    public void twoCrashesSetAsideWhatBothShare() {
        PoisonDetector s = crashes(Set.of("p", "a", "b"));
        assertFalse(s.isPoison("p", NOW));
        assertTrue(s.isSuspect("a", NOW));
        s.recordCrash(new CrashReport("second", NOW, Set.of("p", "c")), NOW);
        assertTrue(s.isPoison("p", NOW));
        assertFalse(s.isPoison("a", NOW));
        assertFalse(s.isSuspect("a", NOW), "the first crash is explained");
    }

    @Test
    public void anInnocentBesideTwoPoisonsIsReleasedOnceEachIsFound() {
        PoisonDetector s = crashes(Set.of("p", "i"), Set.of("q", "i"));
        assertTrue(s.isPoison("i", NOW), "so far it is the best explanation");
        s.recordCrash(new CrashReport("p again", NOW, Set.of("p", "x")), NOW);
        s.recordCrash(new CrashReport("q again", NOW, Set.of("q", "y")), NOW);
        assertTrue(s.isPoison("p", NOW) && s.isPoison("q", NOW));
        assertFalse(s.isPoison("i", NOW));
    }

    @Test
    public void twoThatWereTogetherEachTimeRunApartUntilOneIsFound() {
        PoisonDetector s = crashes(Set.of("p", "i"), Set.of("p", "i"));
        assertFalse(s.isPoison("p", NOW) || s.isPoison("i", NOW));
        assertFalse(s.mayRunBeside("p", List.of("i"), NOW));
        assertTrue(s.mayRunBeside("p", List.of("other"), NOW));
        s.recordCrash(new CrashReport("alone", NOW, Set.of("p")), NOW);
        assertTrue(s.isPoison("p", NOW));
        assertFalse(s.isPoison("i", NOW));
    }

    @Test
    public void fourSharedCrashesSetBothAsideForTheSakeOfTheFleet() {
        Set<String> both = Set.of("p", "i");
        PoisonDetector s = crashes(both, both, both, both);
        assertTrue(s.isPoison("p", NOW) && s.isPoison("i", NOW));
    }

    @Test
    public void aRequestThatRanToItsEndIsClearedOfEarlierCrashes() {
        PoisonDetector s = crashes(Set.of("popular", "a"));
        s.recordCompletion("popular", NOW.plusMillis(1));
        s.recordCrash(new CrashReport("later", NOW.plusMillis(2), Set.of("popular", "b")), NOW.plusMillis(2));
        assertFalse(s.isPoison("popular", NOW.plusMillis(3)));
    }

    @Test
    public void whatAPeerHasSetAsideIsSetAsideForAsLongAndNoLonger() {
        PoisonDetector one = crashes(Set.of("p"), Set.of("p"));
        PoisonDetector other = PoisonDetector.standard();
        Instant later = NOW.plusSeconds(300);
        other.addMarks(one.marks(NOW), later);
        one.addMarks(other.marks(later), later);
        assertTrue(other.isPoison("p", later));
        assertFalse(other.isPoison("p", NOW.plusSeconds(601)));
        assertFalse(one.isPoison("p", NOW.plusSeconds(601)));
    }

    @Test
    public void theFingerprintTellsApartWhatRunsTogether() {
        String one = Fingerprint.of(new OrganisationId("ab"), new ServiceName("c"), new byte[] {1});
        String other = Fingerprint.of(new OrganisationId("a"), new ServiceName("bc"), new byte[] {1});
        assertEquals(one.length(), 64);
        assertNotEquals(one, other);
        assertEquals(one, Fingerprint.of(new OrganisationId("ab"), new ServiceName("c"), new byte[] {1}));
    }

    @SafeVarargs
    private static PoisonDetector crashes(Set<String>... crashes) {
        PoisonDetector s = PoisonDetector.standard();
        for (int i = 0; i < crashes.length; i++) {
            s.recordCrash(new CrashReport("c" + i, NOW, crashes[i]), NOW);
        }
        return s;
    }
}
