package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * A backend server pauses for seconds and goes on as before. Told as its speed, the pause makes the entries refuse
 * every deadline, so that no work comes that would show the true speed, for good.
 */
public class SpeedMeterTest {
    private static final long MILLI = 1_000_000L;

    @Test
    public void thePauseCountsLittle() {
        SpeedMeter meter = steady();
        meter.done(1, 5_000 * MILLI, 0);
        assertTrue(meter.meanMicros() < 14_000, "mean " + meter.meanMicros());
    }

    @Test
    public void aSpeedNotSeenForAWhileIsUnknown() {
        SpeedMeter meter = steady();
        meter.age(2_000 * MILLI);
        assertEquals(meter.meanMicros(), 10_000);
        meter.age(3_001 * MILLI);
        assertEquals(meter.meanMicros(), 0);
        assertEquals(meter.unitsPerSecond(), 0.0);
    }

    @Test
    public void theFirstPiecesTellNoSpeed() {
        SpeedMeter meter = new SpeedMeter();
        meter.done(1, 900 * MILLI, 0);
        assertEquals(meter.meanMicros(), 0);
    }

    private static SpeedMeter steady() {
        SpeedMeter meter = new SpeedMeter();
        for (int i = 0; i < 100; i++) {
            meter.done(1, 10 * MILLI, 0);
        }
        return meter;
    }
}
