package org.cornelramp.core.retry;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Repeats within any window stay within the share of the requests and the reserve. */
class RetryWindowProperties {
    private static final long WINDOW = 10_000;
    private static final double RATIO = 0.2;
    private static final double RESERVE = 40;

    /** Each number is a pause; every third event is a request, the others try to repeat. */
    @Property(tries = 300, seed = "11")
    void repeatsKeepTheBound(@ForAll @Size(max = 600) List<@IntRange(max = 120) Integer> pauses) {
        RetryWindow window = new RetryWindow(RATIO, WINDOW);
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < pauses.size(); i++) {
            now += pauses.get(i);
            if (i % 3 == 0) {
                window.request(now);
                requests.add(now);
            } else if (window.tryRepeat(RESERVE, 1, now)) {
                repeats.add(now);
                check(requests, repeats, now);
            }
        }
    }

    private static void check(List<Long> requests, List<Long> repeats, long now) {
        long sent = repeats.stream().filter(at -> at > now - WINDOW).count();
        long asked =
                requests.stream().filter(at -> at > now - WINDOW - WINDOW / 10).count();
        if (sent > RATIO * asked + RESERVE) {
            throw new AssertionError(sent + " repeats beside " + asked + " requests");
        }
    }
}
