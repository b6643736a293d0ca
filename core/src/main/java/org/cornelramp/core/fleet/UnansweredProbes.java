package org.cornelramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.BackendServerId;

/**
 * Decides whether an unanswered probe means that the server is dead or that this process is at fault. Owned by one thread.
 *
 * <p>A process whose own link is saturated, or that is paused for a moment, gets no answer in time from any server. If it
 * took all of them for dead, it would move every stream, and a leader would place the model again. Few servers die at the
 * same moment. Therefore, from the third silent server on, each is probed once more with a longer timeout.
 *
 * <p>A process that is short of CPU time reads answers late, and its timers are delayed as well, so the silence that it
 * measures is its own. If it trusted that measurement, it would move the streams of living engines, for which it has no CPU
 * time either. Therefore, while it runs late, it accepts a first silence as a failure only for a server that another process
 * has also seen fail.
 */
public final class UnansweredProbes {
    /** Servers that may be declared dead within one window without a second probe: those of a small rack. */
    static final int MAX_WITHOUT_SECOND_PROBE = 2;

    /** Window in which they are counted, in milliseconds: five times the timeout of a probe. */
    static final long WINDOW_MILLIS = 600;

    private final Map<BackendServerId, Long> silent = new HashMap<>();
    private final Map<BackendServerId, Long> peerReports = new HashMap<>();

    /** Records that another process has seen a server fail. */
    public void reportedByPeer(BackendServerId id, long nowMillis) {
        peerReports.put(id, nowMillis);
    }

    /**
     * Records that a server did not answer. A server that is probed again within the window and does not answer either
     * counts as dead.
     *
     * @param runningLate whether this process was delayed at the time
     * @return whether the fault is more likely in this process than in the server
     */
    public boolean isLikelyLocalFault(BackendServerId id, boolean runningLate, long nowMillis) {
        silent.values().removeIf(at -> nowMillis - at > WINDOW_MILLIS);
        peerReports.values().removeIf(at -> nowMillis - at > WINDOW_MILLIS);
        boolean probedAgain = silent.putIfAbsent(id, nowMillis) != null;
        boolean unconfirmed = runningLate && !peerReports.containsKey(id);
        return !probedAgain && (unconfirmed || silent.size() > MAX_WITHOUT_SECOND_PROBE);
    }
}
