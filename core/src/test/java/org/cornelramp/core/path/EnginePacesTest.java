package org.cornelramp.core.path;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** How long a slow engine is known to be slow. */
public class EnginePacesTest {
    private static final BackendServerId SLOW = new BackendServerId("i-1");
    private static final long NOW = 10_000;

    /** Guards against streams that return to a slow engine because nobody asked it again. */
    @Test
    public void aSlowEngineIsAskedAgainBeforeItIsForgotten() {
        EnginePaces paces = new EnginePaces();
        paces.measured(SLOW, 12, NOW);
        assertEquals(paces.dueForRenewal(NOW + EnginePaces.RENEW_MILLIS - 1), List.of());
        assertEquals(paces.dueForRenewal(NOW + EnginePaces.RENEW_MILLIS), List.of(SLOW));
        assertEquals(paces.dueForRenewal(NOW + EnginePaces.RENEW_MILLIS + 1), List.of());
        paces.measured(SLOW, 1, NOW + EnginePaces.RENEW_MILLIS + 10);
        assertEquals(paces.dueForRenewal(NOW + 60_000), List.of());
        assertEquals(paces.factor(SLOW), 1.0);
    }

    /** Guards against two processes that tell each other of a slow engine long after it has recovered. */
    @Test
    public void whatWasToldIsNotToldOn() {
        EnginePaces paces = new EnginePaces();
        paces.told(SLOW, 12, NOW);
        assertEquals(paces.factor(SLOW), 12.0);
        assertEquals(paces.toTell(), Map.of());
        assertEquals(paces.dueForRenewal(NOW + 60_000), List.of());
        paces.forgetOld(NOW + 4_001);
        assertEquals(paces.factor(SLOW), 1.0);
    }

    /** Guards against a peer's older word that hides a recovery which this process has seen itself. */
    @Test
    public void anOwnReportCountsMoreThanAPeersWord() {
        EnginePaces paces = new EnginePaces();
        paces.measured(SLOW, 1, NOW);
        paces.told(SLOW, 12, NOW + 100);
        assertEquals(paces.factor(SLOW), 1.0);
        paces.told(SLOW, 12, NOW + EnginePaces.RENEW_MILLIS + 1);
        assertEquals(paces.factor(SLOW), 12.0);
    }
}
