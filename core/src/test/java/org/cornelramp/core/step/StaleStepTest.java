package org.cornelramp.core.step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.Test;

/**
 * Guards against steps of a replaced stage: the preceding stage is paused, replaced, and then resumes and sends its
 * remaining outputs with the old epoch. They must be rejected even at the position that this stage expects, since the
 * outputs of the replacement may differ in the last bits and the KV cache would mix both.
 */
public class StaleStepTest {
    private static final StageSpec MIDDLE = new StageSpec(1, 3, 4, 8);

    @Test
    public void stepOfAnOldEpochChangesNothing() {
        StageSession stage = new StageSession(MIDDLE, 1);
        stage.accept(1, 0, new long[] {10, 11});
        stage.nextRun(9);
        stage.completeRun(new long[] {20, 21});
        stage.openEpoch(2);

        assertEquals(stage.accept(1, 2, new long[] {99}), StepAcceptance.STALE);
        assertFalse(stage.isReady());
        assertEquals(stage.accept(2, 2, new long[] {12}), StepAcceptance.ACCEPTED);
        assertEquals(stage.nextRun(9).orElseThrow().inputs(), new long[] {12});
    }

    @Test
    public void resumedStageSendsNothingBeforeTheNewEpochStartsSending() {
        StageSession stage = new StageSession(MIDDLE, 1);
        stage.startSending(1, 0);
        stage.accept(1, 0, new long[] {10});
        stage.nextRun(9);
        stage.openEpoch(2);
        stage.completeRun(new long[] {20});

        assertFalse(stage.nextSend(9).isPresent(), "nothing may be sent before the new epoch sets the first position");
        assertFalse(stage.startSending(1, 0));
        stage.startSending(2, 0);
        assertEquals(stage.nextSend(9).orElseThrow().outputs(), new long[] {20});
    }

    @Test
    public void repeatedStepIsDroppedAndOverlapRunsOnlyItsNewPart() {
        StageSession stage = new StageSession(MIDDLE, 1);
        assertEquals(stage.accept(1, 0, new long[] {10, 11}), StepAcceptance.ACCEPTED);
        assertEquals(stage.accept(1, 0, new long[] {10, 11}), StepAcceptance.DUPLICATE);
        assertEquals(stage.accept(1, 1, new long[] {11, 12}), StepAcceptance.ACCEPTED);
        assertEquals(stage.nextRun(9).orElseThrow().inputs(), new long[] {10, 11, 12});
    }
}
