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
        SetAside s = crashes(Set.of("p", "a", "b"));
        assertFalse(s.isSetAside("p", NOW));
        assertTrue(s.isSuspect("a", NOW));
        s.crashed(new CrashReport("second", NOW, Set.of("p", "c")), NOW);
        assertTrue(s.isSetAside("p", NOW));
        assertFalse(s.isSetAside("a", NOW));
        assertFalse(s.isSuspect("a", NOW), "the first crash is explained");
    }

    @Test
    public void anInnocentBesideTwoPoisonsIsReleasedOnceEachIsFound() {
        SetAside s = crashes(Set.of("p", "i"), Set.of("q", "i"));
        assertTrue(s.isSetAside("i", NOW), "so far it is the best explanation");
        s.crashed(new CrashReport("p again", NOW, Set.of("p", "x")), NOW);
        s.crashed(new CrashReport("q again", NOW, Set.of("q", "y")), NOW);
        assertTrue(s.isSetAside("p", NOW) && s.isSetAside("q", NOW));
        assertFalse(s.isSetAside("i", NOW));
    }

    @Test
    public void twoThatWereTogetherEachTimeRunApartUntilOneIsFound() {
        SetAside s = crashes(Set.of("p", "i"), Set.of("p", "i"));
        assertFalse(s.isSetAside("p", NOW) || s.isSetAside("i", NOW));
        assertFalse(s.mayRunBeside("p", List.of("i"), NOW));
        assertTrue(s.mayRunBeside("p", List.of("other"), NOW));
        s.crashed(new CrashReport("alone", NOW, Set.of("p")), NOW);
        assertTrue(s.isSetAside("p", NOW));
        assertFalse(s.isSetAside("i", NOW));
    }

    @Test
    public void fourSharedCrashesSetBothAsideForTheSakeOfTheFleet() {
        Set<String> both = Set.of("p", "i");
        SetAside s = crashes(both, both, both, both);
        assertTrue(s.isSetAside("p", NOW) && s.isSetAside("i", NOW));
    }

    @Test
    public void aRequestThatRanToItsEndIsClearedOfEarlierCrashes() {
        SetAside s = crashes(Set.of("popular", "a"));
        s.completed("popular", NOW.plusMillis(1));
        s.crashed(new CrashReport("later", NOW.plusMillis(2), Set.of("popular", "b")), NOW.plusMillis(2));
        assertFalse(s.isSetAside("popular", NOW.plusMillis(3)));
    }

    @Test
    public void whatAPeerHasSetAsideIsSetAsideForAsLongAndNoLonger() {
        SetAside one = crashes(Set.of("p"), Set.of("p"));
        SetAside other = SetAside.standard();
        Instant later = NOW.plusSeconds(300);
        other.heard(one.marks(NOW), later);
        one.heard(other.marks(later), later);
        assertTrue(other.isSetAside("p", later));
        assertFalse(other.isSetAside("p", NOW.plusSeconds(601)));
        assertFalse(one.isSetAside("p", NOW.plusSeconds(601)));
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
    private static SetAside crashes(Set<String>... crashes) {
        SetAside s = SetAside.standard();
        for (int i = 0; i < crashes.length; i++) {
            s.crashed(new CrashReport("c" + i, NOW, crashes[i]), NOW);
        }
        return s;
    }
}
