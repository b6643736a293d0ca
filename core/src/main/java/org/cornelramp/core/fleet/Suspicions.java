package org.cornelramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * Backend servers that have just been seen to fail, and for how long nothing is sent to them.
 *
 * <p>A registration outlives a crash by several heartbeats, and requests sent meanwhile would all be lost. The time
 * doubles with each failure in a row, so a dead server costs few trials and a living one is soon back. Owned by one
 * thread.
 */
public final class Suspicions {
    /** First time without work: about one heartbeat, after which a living server has been heard of again. */
    public static final long FIRST_MILLIS = 1_500;

    /** Longest time without work: a crashed server is replaced within seconds, under another id. */
    public static final long MOST_MILLIS = 8_000;

    /** Time without failures after which the count starts anew. */
    private static final long FORGET_MILLIS = 15_000;

    private final Map<BackendServerId, Mark> marks = new HashMap<>();

    private record Mark(long sinceMillis, long untilMillis, int failures) {}

    /** Notes a failure that says the server is dead or cut off. True if it was trusted until now. */
    public boolean suspect(BackendServerId id, long nowMillis) {
        Mark old = marks.get(id);
        boolean known = old != null && nowMillis - old.untilMillis() < FORGET_MILLIS;
        if (known && nowMillis < old.untilMillis()) {
            return false;
        }
        int failures = known ? old.failures() + 1 : 1;
        long span = Math.min(MOST_MILLIS, FIRST_MILLIS << Math.min(failures - 1, 4));
        marks.put(id, new Mark(nowMillis, nowMillis + span, failures));
        return true;
    }

    /** Notes that the server has answered. */
    public void trust(BackendServerId id) {
        marks.remove(id);
    }

    /** Whether nothing is sent to the server now. */
    public boolean isSuspect(BackendServerId id, long nowMillis) {
        Mark mark = marks.get(id);
        return mark != null && nowMillis < mark.untilMillis();
    }

    /** Forgets servers that nobody knows any more. */
    public void retain(Predicate<BackendServerId> known) {
        marks.keySet().removeIf(id -> !known.test(id));
    }
}
