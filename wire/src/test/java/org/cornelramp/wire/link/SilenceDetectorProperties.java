package org.cornelramp.wire.link;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Silence is judged by the clock that is passed in, also where that clock wraps around. */
class SilenceDetectorProperties {
    private static final long INTERVAL = 150_000_000L;

    @Property(seed = "52")
    void aLinkIsSilentExactlyAfterThreeIntervals(@ForAll long start, @ForAll @LongRange(max = 1L << 40) long later) {
        SilenceDetector detector = new SilenceDetector(INTERVAL, start);
        detector.heard(start + later);
        if (detector.isSilent(start + later + 3 * INTERVAL - 1) || !detector.isSilent(start + later + 3 * INTERVAL)) {
            throw new AssertionError("Silence is three intervals");
        }
    }

    @Property(seed = "53")
    void backoffNeverExceedsItsCapAndNeverIsZero(@ForAll @IntRange(min = 1, max = 10_000) int failures) {
        Backoff backoff = new Backoff(20, 1_000);
        long least = backoff.waitMillis(failures, 0);
        long most = backoff.waitMillis(failures, 0.999_999);
        if (least < 10 || most > 1_000 || least > most) {
            throw new AssertionError("Waits from " + least + " to " + most);
        }
    }
}
