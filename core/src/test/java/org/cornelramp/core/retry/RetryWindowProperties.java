package org.cornelramp.core.retry;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The retries within any window stay within the share of the requests plus the reserve. */
class RetryWindowProperties {
    private static final long WINDOW = 10_000;
    private static final double RATIO = 0.2;
    private static final double RESERVE = 40;

    /** Each number is the time between two events; every third event is a request, the others try to retry. */
    @Property(tries = 300, seed = "11")
    void retriesStayWithinTheBound(@ForAll @Size(max = 600) List<@IntRange(max = 120) Integer> intervals) {
        RetryWindow window = new RetryWindow(RATIO, WINDOW);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < intervals.size(); i++) {
            now += intervals.get(i);
            if (i % 3 == 0) {
                window.recordRequest(now);
                requests.add(now);
            } else if (window.tryRetry(RESERVE, 1, now)) {
                retries.add(now);
                check(requests, retries, now);
            }
        }
    }

    private static void check(List<Long> requests, List<Long> retries, long now) {
        long sent = retries.stream().filter(at -> at > now - WINDOW).count();
        long received =
                requests.stream().filter(at -> at > now - WINDOW - WINDOW / 10).count();
        if (sent > RATIO * received + RESERVE) {
            throw new AssertionError(sent + " retries for " + received + " requests");
        }
    }
}
