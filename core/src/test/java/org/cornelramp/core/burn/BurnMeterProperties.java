package org.cornelramp.core.burn;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The counts of a window include every request within its length, and none that is more than a bucket older. */
public class BurnMeterProperties {
    private static final long START = 1_000_000_000L;

    @Property(seed = "41", tries = 300)
    void countsCoverTheWindowAndAtMostOneMoreBucket(
            @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 2_000_000) Integer> intervals) {
        BurnMeter meter = new BurnMeter();
        long[] times = new long[intervals.size()];
        long now = START;
        for (int i = 0; i < times.length; i++) {
            now += intervals.get(i);
            times[i] = now;
            meter.add(i % 3 == 0, Instant.ofEpochMilli(now));
        }
        for (BurnWindow window : BurnWindow.values()) {
            long length = window.length().toMillis();
            BurnCounts counts = meter.counts(window, Instant.ofEpochMilli(now));
            assertTrue(counts.total() >= within(times, now, length - 1));
            assertTrue(counts.total() <= within(times, now, length + length / 12));
            assertTrue(counts.bad() <= counts.total());
        }
    }

    private static long within(long[] times, long now, long millis) {
        long count = 0;
        for (long time : times) {
            count += now - time <= millis ? 1 : 0;
        }
        return count;
    }

    @Property(seed = "42", tries = 100)
    void aClockSetBackLosesNoCounts(@ForAll @IntRange(min = 0, max = 200_000) int back) {
        BurnMeter meter = new BurnMeter();
        meter.add(true, Instant.ofEpochMilli(START));
        meter.add(true, Instant.ofEpochMilli(START - back));
        assertEquals(meter.counts(BurnWindow.FIVE_MINUTES, Instant.ofEpochMilli(START)), new BurnCounts(2, 2));
    }
}
