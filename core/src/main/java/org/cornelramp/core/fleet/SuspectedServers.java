package org.cornelramp.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.BackendServerId;

/**
 * Backend servers that failed recently and are excluded from routing for a time.
 *
 * <p>A registration outlives a crash by several heartbeats, and requests sent to the server in that time would be lost.
 * The exclusion time doubles with each consecutive failure, so a dead server costs few probes, and one that works again
 * is soon used again. Owned by one thread.
 */
public final class SuspectedServers {
    /** Time without failures after which the count of consecutive failures restarts. */
    private static final long FAILURE_COUNT_RESET_MILLIS = 10_000;

    /** How long before its end a suspicion is due for a probe: two round trips and the age of a report. */
    private static final long PROBE_LEAD_MILLIS = 300;

    private static final int MAX_DOUBLINGS = 3;

    private final Map<BackendServerId, Suspicion> suspicions = new HashMap<>();

    /** The kind of failure that was observed. Immutable, safe for use by any thread. */
    public enum Evidence {
        /**
         * Nothing listens at its address, or work on it stalls: it is dead or partitioned, and returns as another
         * incarnation, if at all.
         */
        LOST(2_000, true),
        /** It does not answer this process. Treated as {@link #LOST}, unless a sign of life arrives after all. */
        SILENT(2_000, true),
        /** It refused a request at once: it is full, or is releasing layers. Both last only moments. */
        BUSY(250, false);

        private final long initialMillis;
        private final boolean lost;

        Evidence(long initialMillis, boolean lost) {
            this.initialMillis = initialMillis;
            this.lost = lost;
        }

        /** Whether the server is presumed dead or partitioned, so that its running work should move. */
        public boolean isLost() {
            return lost;
        }
    }

    private record Suspicion(Evidence evidence, long sinceMillis, long untilMillis, int failures, boolean probed) {
        Suspicion endedAt(long nowMillis) {
            return new Suspicion(evidence, sinceMillis, nowMillis, failures, probed);
        }

        Suspicion asProbed() {
            return new Suspicion(evidence, sinceMillis, untilMillis, failures, true);
        }
    }

    /** Records a failure; returns whether it is a new one, rather than one that is already recorded. */
    public boolean suspect(BackendServerId id, Evidence evidence, long nowMillis) {
        Suspicion previous = suspicions.get(id);
        if (previous != null
                && nowMillis < previous.untilMillis()
                && previous.evidence().initialMillis >= evidence.initialMillis) {
            return false; // the same failure, reported by another request
        }
        putSuspicion(id, evidence, previous, nowMillis);
        return true;
    }

    /** Records a failed probe: the exclusion time starts again and doubles, up to a maximum. */
    public void probeFailed(BackendServerId id, long nowMillis) {
        Suspicion previous = suspicions.get(id);
        putSuspicion(id, previous == null ? Evidence.LOST : previous.evidence(), previous, nowMillis);
    }

    /**
     * Records a sign of life of a server. It ends an earlier suspicion whose evidence is {@link Evidence#SILENT}, and keeps
     * the count of consecutive failures.
     *
     * @param seenMillis when the server gave the sign
     * @return whether it ended a suspicion
     */
    public boolean recordSignOfLife(BackendServerId id, long seenMillis, long nowMillis) {
        Suspicion suspicion = suspicions.get(id);
        boolean refuted = isSuspect(id, nowMillis)
                && suspicion.evidence() == Evidence.SILENT
                && seenMillis > suspicion.sinceMillis();
        if (refuted) {
            suspicions.put(id, suspicion.endedAt(nowMillis));
        }
        return refuted;
    }

    /** Whether any server is currently suspected only because it does not answer. */
    public boolean hasSilentSuspects(long nowMillis) {
        return suspicions.values().stream()
                .anyMatch(suspicion -> suspicion.evidence() == Evidence.SILENT && nowMillis < suspicion.untilMillis());
    }

    private void putSuspicion(BackendServerId id, Evidence evidence, Suspicion previous, long nowMillis) {
        boolean known = previous != null
                && previous.evidence() == evidence
                && nowMillis - previous.untilMillis() < FAILURE_COUNT_RESET_MILLIS;
        int failures = known ? previous.failures() + 1 : 1;
        long span = evidence.initialMillis << Math.min(failures - 1, MAX_DOUBLINGS);
        suspicions.put(id, new Suspicion(evidence, nowMillis, nowMillis + span, failures, false));
    }

    /** Whether the server is currently excluded. */
    public boolean isSuspect(BackendServerId id, long nowMillis) {
        Suspicion suspicion = suspicions.get(id);
        return suspicion != null && nowMillis < suspicion.untilMillis();
    }

    /** Whether the server is presumed dead or partitioned, so that its running work should move. */
    public boolean isLost(BackendServerId id, long nowMillis) {
        return isSuspect(id, nowMillis) && suspicions.get(id).evidence().isLost();
    }

    /**
     * The servers presumed dead or partitioned that should be probed now because their exclusion is about to end. Each
     * suspicion is returned once.
     */
    public List<BackendServerId> dueForProbe(long nowMillis) {
        List<BackendServerId> due = new ArrayList<>();
        suspicions.replaceAll((id, suspicion) -> {
            boolean nearlyOver = !suspicion.probed() && nowMillis > suspicion.untilMillis() - PROBE_LEAD_MILLIS;
            if (!nearlyOver || !suspicion.evidence().isLost()) {
                return suspicion;
            }
            due.add(id);
            return suspicion.asProbed();
        });
        return due;
    }

    /** Drops servers that are no longer known. */
    public void retain(Predicate<BackendServerId> known) {
        suspicions.keySet().removeIf(id -> !known.test(id));
    }
}
