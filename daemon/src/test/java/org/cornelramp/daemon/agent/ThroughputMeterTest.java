package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against a backend server that gets no more work after a pause of seconds: if the pause counted as its speed,
 * entries would refuse every deadline, and no work would follow that could correct the measured speed.
 */
public class ThroughputMeterTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    @Test
    public void longSampleIsCapped() {
        ThroughputMeter meter = meterWithSteadySamples();
        meter.recordSample(1, 5_000 * NANOS_PER_MILLI, 0);
        assertTrue(meter.meanMicros() < 14_000, "mean " + meter.meanMicros());
    }

    @Test
    public void staleMeasurementIsUnknown() {
        ThroughputMeter meter = meterWithSteadySamples();
        meter.expireStale(2_000 * NANOS_PER_MILLI);
        assertEquals(meter.meanMicros(), 10_000);
        meter.expireStale(3_001 * NANOS_PER_MILLI);
        assertEquals(meter.meanMicros(), 0);
        assertEquals(meter.unitsPerSecond(), 0.0);
    }

    @Test
    public void warmUpSamplesAreIgnored() {
        ThroughputMeter meter = new ThroughputMeter();
        meter.recordSample(1, 900 * NANOS_PER_MILLI, 0);
        assertEquals(meter.meanMicros(), 0);
    }

    private static ThroughputMeter meterWithSteadySamples() {
        ThroughputMeter meter = new ThroughputMeter();
        for (int i = 0; i < 100; i++) {
            meter.recordSample(1, 10 * NANOS_PER_MILLI, 0);
        }
        return meter;
    }
}
