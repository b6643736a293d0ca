package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
    /** Time without failures after which the count starts anew. */
    private static final long FORGET_MILLIS = 10_000;

    /** How long before its end a suspicion is due for a trial: two round trips and the age of a report. */
    private static final long TRIAL_MILLIS = 300;

    private static final int MOST_DOUBLINGS = 3;

    private final Map<BackendServerId, Mark> marks = new HashMap<>();

    /** What was seen. Immutable, safe for use by any thread. */
    public enum Evidence {
        /** Nothing listens there, or work stalls there: it is dead or cut off, and comes back in another life, if at all. */
        LOST(2_000, true),
        /** It says nothing to this process. The same, unless something is heard of it after all. */
        SILENT(2_000, true),
        /** It refused a request at once: it is full, or is just giving layers up. Both pass within moments. */
        BUSY(250, false);

        private final long firstMillis;
        private final boolean lost;

        Evidence(long firstMillis, boolean lost) {
            this.firstMillis = firstMillis;
            this.lost = lost;
        }

        /** Whether the server is held to be dead or cut off, so that work which runs there should move. */
        public boolean isLost() {
            return lost;
        }
    }

    private record Mark(Evidence evidence, long sinceMillis, long untilMillis, int failures, boolean tried) {
        Mark endedAt(long nowMillis) {
            return new Mark(evidence, sinceMillis, nowMillis, failures, tried);
        }

        Mark asTried() {
            return new Mark(evidence, sinceMillis, untilMillis, failures, true);
        }
    }

    /** Notes a failure. True if the server was trusted until now. */
    public boolean suspect(BackendServerId id, Evidence evidence, long nowMillis) {
        Mark old = marks.get(id);
        if (old != null && nowMillis < old.untilMillis() && old.evidence().firstMillis >= evidence.firstMillis) {
            return false; // the same failure, told by another request
        }
        mark(id, evidence, old, nowMillis);
        return true;
    }

    /** Notes that a trial has failed: the time starts again, twice as long. */
    public void trialFailed(BackendServerId id, long nowMillis) {
        Mark old = marks.get(id);
        mark(id, old == null ? Evidence.LOST : old.evidence(), old, nowMillis);
    }

    /**
     * Notes that a server gave a sign of life. It ends a suspicion that only the silence of the server had raised before, and
     * keeps the count of failures in a row. True if it ended one.
     *
     * @param seenMillis when the sign was given
     */
    public boolean seenAlive(BackendServerId id, long seenMillis, long nowMillis) {
        Mark mark = marks.get(id);
        boolean refuted =
                isSuspect(id, nowMillis) && mark.evidence() == Evidence.SILENT && seenMillis > mark.sinceMillis();
        if (refuted) {
            marks.put(id, mark.endedAt(nowMillis));
        }
        return refuted;
    }

    /** Whether a server is held to be dead only because it says nothing. */
    public boolean hasSilent(long nowMillis) {
        return marks.values().stream()
                .anyMatch(mark -> mark.evidence() == Evidence.SILENT && nowMillis < mark.untilMillis());
    }

    private void mark(BackendServerId id, Evidence evidence, Mark old, long nowMillis) {
        boolean known = old != null && old.evidence() == evidence && nowMillis - old.untilMillis() < FORGET_MILLIS;
        int failures = known ? old.failures() + 1 : 1;
        long span = evidence.firstMillis << Math.min(failures - 1, MOST_DOUBLINGS);
        marks.put(id, new Mark(evidence, nowMillis, nowMillis + span, failures, false));
    }

    /** Whether nothing is sent to the server now. */
    public boolean isSuspect(BackendServerId id, long nowMillis) {
        Mark mark = marks.get(id);
        return mark != null && nowMillis < mark.untilMillis();
    }

    /** Whether the server is held to be dead or cut off, so that work which runs there should move. */
    public boolean isLost(BackendServerId id, long nowMillis) {
        return isSuspect(id, nowMillis) && marks.get(id).evidence().isLost();
    }

    /** Servers whose time is nearly over and which should be asked how they are; each is given once. */
    public List<BackendServerId> dueForTrial(long nowMillis) {
        List<BackendServerId> due = new ArrayList<>();
        marks.replaceAll((id, mark) -> {
            boolean nearlyOver = !mark.tried() && nowMillis > mark.untilMillis() - TRIAL_MILLIS;
            if (!nearlyOver || !mark.evidence().isLost()) {
                return mark;
            }
            due.add(id);
            return mark.asTried();
        });
        return due;
    }

    /** Forgets servers that nobody knows any more. */
    public void retain(Predicate<BackendServerId> known) {
        marks.keySet().removeIf(id -> !known.test(id));
    }
}
