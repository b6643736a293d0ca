package org.cornelramp.core.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * How many times longer than usual engines take for their work, as they have reported lately. Owned by one thread.
 *
 * <p>An engine that is slow is avoided, so no stream shows whether it still is. A process that has asked one itself therefore
 * asks again before it forgets; those that were only told by it forget when it tells no more. Forgotten too early, the
 * engine draws all new streams, each of which then takes many times as long and keeps its memory on all engines of its path.
 */
public final class EnginePaces {
    /** Age up to which a pace is believed. */
    private static final long BELIEVED_MILLIS = 4_000;

    /** Age from which on an unusual pace is asked for again: the question may be lost, and asked once more. */
    static final long RENEW_MILLIS = 1_500;

    private final Map<BackendServerId, Pace> paces = new HashMap<>();

    /**
     * @param factor how many times longer than usual
     * @param measured whether the engine has told this process itself
     */
    private record Pace(double factor, boolean measured, long heardMillis, long askedMillis) {
        boolean isUnusual() {
            return measured && factor > 1;
        }
    }

    /** How many times longer than usual the engine takes; 1 if nothing is known of it. */
    public double factor(BackendServerId id) {
        Pace pace = paces.get(id);
        return pace == null ? 1 : pace.factor();
    }

    /** Takes what an engine has reported to this process. */
    public void measured(BackendServerId id, double factor, long nowMillis) {
        paces.put(id, new Pace(factor, true, nowMillis, nowMillis));
    }

    /** Takes what an engine has reported to a peer; an own report that is about as new counts more. */
    public void told(BackendServerId id, double factor, long nowMillis) {
        Pace known = paces.get(id);
        if (known == null || !known.measured() || nowMillis - known.heardMillis() > RENEW_MILLIS) {
            paces.put(id, new Pace(factor, false, nowMillis, nowMillis));
        }
    }

    /** Unusual paces that engines have reported to this process, for its peers. */
    public Map<BackendServerId, Double> toTell() {
        Map<BackendServerId, Double> unusual = new HashMap<>();
        paces.forEach((id, pace) -> {
            if (pace.isUnusual()) {
                unusual.put(id, pace.factor());
            }
        });
        return unusual;
    }

    /** Engines to ask again now; each is given once in a while. */
    public List<BackendServerId> dueForRenewal(long nowMillis) {
        List<BackendServerId> due = new ArrayList<>();
        paces.replaceAll((id, pace) -> {
            if (!pace.isUnusual() || nowMillis - pace.askedMillis() < RENEW_MILLIS) {
                return pace;
            }
            due.add(id);
            return new Pace(pace.factor(), true, pace.heardMillis(), nowMillis);
        });
        return due;
    }

    /** Forgets what was reported too long ago. */
    public void forgetOld(long nowMillis) {
        paces.values().removeIf(pace -> nowMillis - pace.heardMillis() > BELIEVED_MILLIS);
    }

    /** Forgets engines that nobody knows any more. */
    public void retain(Predicate<BackendServerId> known) {
        paces.keySet().removeIf(id -> !known.test(id));
    }
}
