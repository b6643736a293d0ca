package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.testng.annotations.Test;

/** Who is answered out of turn. */
public class AskersTest {
    /**
     * A gateway of thirty has no repeat left and asks a peer whose next news would go to others. The peer tells it in the
     * next two rounds, as the loan may be made just after the first; then it waits for its turn again.
     */
    @Test
    public void anAskerIsToldInTheNextRoundsAndNoLonger() {
        Askers<String> askers = new Askers<>();
        askers.add("a");
        assertEquals(askers.take(), Set.of("a"));
        askers.add("b");
        assertEquals(askers.take(), Set.of("a", "b"));
        assertEquals(askers.take(), Set.of("b"));
        assertEquals(askers.take(), Set.of());
    }
}
