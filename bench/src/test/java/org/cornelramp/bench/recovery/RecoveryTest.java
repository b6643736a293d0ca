package org.cornelramp.bench.recovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;
import org.testng.annotations.Test;

/**
 * Answers stop for 700 ms after a fault, then all delayed ones come in one burst. Callers have no answers for the whole
 * time, so the burst must not shorten the measured recovery.
 */
public class RecoveryTest {
    private static final long MILLI = 1_000_000;
    private static final long FAULT = 10_000 * MILLI;

    @Test
    public void burstAfterAGapDoesNotShortenIt() {
        Recovery recovery = Recovery.of(answered(0, 2_000, 0), answered(10_000, 13_000, 10_700), FAULT);
        assertTrue(recovery.millis() >= 600 && recovery.millis() <= 900, "millis=" + recovery.millis());
        assertEquals(recovery.lost(), 0);
    }

    @Test
    public void steadyAnswersNeedNoRecovery() {
        Recovery recovery = Recovery.of(answered(0, 2_000, 0), answered(10_000, 13_000, 0), FAULT);
        assertEquals(recovery.millis(), 0.0);
    }

    /** A request every 10 ms, answered after 10 ms but not before {@code until}. */
    private static List<Sample> answered(int fromMillis, int toMillis, int until) {
        List<Sample> samples = new ArrayList<>();
        for (int due = fromMillis; due < toMillis; due += 10) {
            long end = Math.max(due + 10, until) * MILLI;
            samples.add(new Sample(0, due * MILLI, end, end, CallEnd.IN_TIME, 1, 1, ""));
        }
        return samples;
    }
}
