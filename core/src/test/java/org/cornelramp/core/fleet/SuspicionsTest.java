package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.core.fleet.Suspicions.Evidence;
import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** How long a server that has failed gets nothing. */
public class SuspicionsTest {
    private static final BackendServerId ID = new BackendServerId("s");

    @Test
    public void aBusyServerIsBackWithinMoments() {
        Suspicions suspicions = new Suspicions();
        suspicions.suspect(ID, Evidence.BUSY, 0);
        assertTrue(suspicions.isSuspect(ID, 200));
        assertFalse(suspicions.isLost(ID, 200));
        assertFalse(suspicions.isSuspect(ID, 300));
    }

    /** Forty requests meet the same dead server; that is one failure, and the time does not double forty times. */
    @Test
    public void manyTellingsOfOneFailureCountOnce() {
        Suspicions suspicions = new Suspicions();
        assertTrue(suspicions.suspect(ID, Evidence.LOST, 0));
        for (int i = 1; i < 40; i++) {
            assertFalse(suspicions.suspect(ID, Evidence.LOST, i));
        }
        assertFalse(suspicions.isSuspect(ID, 2_050));
    }

    @Test
    public void proofOfDeathGoesBeforeASignOfLoad() {
        Suspicions suspicions = new Suspicions();
        suspicions.suspect(ID, Evidence.BUSY, 0);
        assertTrue(suspicions.suspect(ID, Evidence.LOST, 10));
        assertTrue(suspicions.isLost(ID, 1_000));
        assertFalse(suspicions.suspect(ID, Evidence.BUSY, 20));
        assertTrue(suspicions.isLost(ID, 1_000));
    }

    /** Guards against living engines that get nothing for seconds because a question to them was lost. */
    @Test
    public void aSignOfLifeEndsADoubtThatSilenceRaised() {
        Suspicions suspicions = new Suspicions();
        suspicions.suspect(ID, Evidence.SILENT, 100);
        assertTrue(suspicions.isLost(ID, 150));
        assertFalse(suspicions.seenAlive(ID, 100, 200), "given before it fell silent");
        assertTrue(suspicions.seenAlive(ID, 101, 200));
        assertFalse(suspicions.isSuspect(ID, 200));
        assertTrue(suspicions.suspect(ID, Evidence.SILENT, 300));
        assertTrue(suspicions.isLost(ID, 300 + 3_999), "it fails for the second time in a row");
    }

    /** Guards against streams that return to an engine that answers, but to which another engine has no link. */
    @Test
    public void aSignOfLifeDoesNotRefuteThatWorkStalls() {
        Suspicions suspicions = new Suspicions();
        suspicions.suspect(ID, Evidence.LOST, 100);
        assertFalse(suspicions.seenAlive(ID, 150, 200));
        assertTrue(suspicions.isLost(ID, 200));
    }

    /** A dead server keeps its registration for seconds; each trial that fails doubles the time until the next. */
    @Test
    public void aFailedTrialDoublesTheTime() {
        Suspicions suspicions = new Suspicions();
        suspicions.suspect(ID, Evidence.LOST, 0);
        assertEquals(suspicions.dueForTrial(1_000), List.of());
        assertEquals(suspicions.dueForTrial(1_800), List.of(ID));
        assertEquals(suspicions.dueForTrial(1_850), List.of());
        suspicions.trialFailed(ID, 1_900);
        assertTrue(suspicions.isLost(ID, 1_900 + 3_900));
        assertFalse(suspicions.isLost(ID, 1_900 + 4_100));
    }
}
