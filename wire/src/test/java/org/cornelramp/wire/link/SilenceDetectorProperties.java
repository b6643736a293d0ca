package org.cornelramp.wire.link;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Silence is measured by the clock value that is passed in, also when that value wraps around. */
class SilenceDetectorProperties {
    private static final long INTERVAL = 150_000_000L;

    @Property(seed = "52")
    void aLinkIsSilentExactlyAfterThreeIntervals(@ForAll long start, @ForAll @LongRange(max = 1L << 40) long later) {
        SilenceDetector detector = new SilenceDetector(INTERVAL, start);
        detector.recordReceived(start + later);
        if (detector.isSilent(start + later + 3 * INTERVAL - 1) || !detector.isSilent(start + later + 3 * INTERVAL)) {
            throw new AssertionError("A link must be silent exactly after three intervals");
        }
    }

    @Property(seed = "53")
    void backoffNeverExceedsItsCapAndNeverIsZero(@ForAll @IntRange(min = 1, max = 10_000) int failures) {
        Backoff backoff = new Backoff(20, 1_000);
        long shortest = backoff.delayMillis(failures, 0);
        long longest = backoff.delayMillis(failures, 0.999_999);
        if (shortest < 10 || longest > 1_000 || shortest > longest) {
            throw new AssertionError("Delays from " + shortest + " to " + longest);
        }
    }
}
