package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.core.fleet.SuspectedServers.Evidence;
import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** How long a server that has failed is excluded. */
public class SuspectedServersTest {
    private static final BackendServerId ID = new BackendServerId("s");

    @Test
    public void aBusyServerIsExcludedOnlyBriefly() {
        SuspectedServers suspects = new SuspectedServers();
        suspects.suspect(ID, Evidence.BUSY, 0);
        assertTrue(suspects.isSuspect(ID, 200));
        assertFalse(suspects.isLost(ID, 200));
        assertFalse(suspects.isSuspect(ID, 300));
    }

    /**
     * Forty requests fail at the same dead server: this is one failure, and the exclusion time does not double forty
     * times.
     */
    @Test
    public void manyReportsOfOneFailureCountOnce() {
        SuspectedServers suspects = new SuspectedServers();
        assertTrue(suspects.suspect(ID, Evidence.LOST, 0));
        for (int i = 1; i < 40; i++) {
            assertFalse(suspects.suspect(ID, Evidence.LOST, i));
        }
        assertFalse(suspects.isSuspect(ID, 2_050));
    }

    @Test
    public void evidenceOfLossOverridesEvidenceOfLoad() {
        SuspectedServers suspects = new SuspectedServers();
        suspects.suspect(ID, Evidence.BUSY, 0);
        assertTrue(suspects.suspect(ID, Evidence.LOST, 10));
        assertTrue(suspects.isLost(ID, 1_000));
        assertFalse(suspects.suspect(ID, Evidence.BUSY, 20));
        assertTrue(suspects.isLost(ID, 1_000));
    }

    /** Guards against running engines that get no work for seconds because a probe to them was lost. */
    @Test
    public void aSignOfLifeEndsASuspicionRaisedBySilence() {
        SuspectedServers suspects = new SuspectedServers();
        suspects.suspect(ID, Evidence.SILENT, 100);
        assertTrue(suspects.isLost(ID, 150));
        assertFalse(suspects.recordSignOfLife(ID, 100, 200), "sign of life from before the silence");
        assertTrue(suspects.recordSignOfLife(ID, 101, 200));
        assertFalse(suspects.isSuspect(ID, 200));
        assertTrue(suspects.suspect(ID, Evidence.SILENT, 300));
        assertTrue(suspects.isLost(ID, 300 + 3_999), "second consecutive failure");
    }

    /** Guards against streams that return to an engine that answers probes but that another engine cannot reach. */
    @Test
    public void aSignOfLifeDoesNotEndASuspicionOfStalledWork() {
        SuspectedServers suspects = new SuspectedServers();
        suspects.suspect(ID, Evidence.LOST, 100);
        assertFalse(suspects.recordSignOfLife(ID, 150, 200));
        assertTrue(suspects.isLost(ID, 200));
    }

    /** A dead server keeps its registration for seconds; each failed probe doubles the time until the next one. */
    @Test
    public void aFailedProbeDoublesTheExclusionTime() {
        SuspectedServers suspects = new SuspectedServers();
        suspects.suspect(ID, Evidence.LOST, 0);
        assertEquals(suspects.dueForProbe(1_000), List.of());
        assertEquals(suspects.dueForProbe(1_800), List.of(ID));
        assertEquals(suspects.dueForProbe(1_850), List.of());
        suspects.probeFailed(ID, 1_900);
        assertTrue(suspects.isLost(ID, 1_900 + 3_900));
        assertFalse(suspects.isLost(ID, 1_900 + 4_100));
    }
}
