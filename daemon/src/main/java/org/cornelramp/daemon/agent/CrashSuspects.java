package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.poison.CrashReport;

/**
 * Tells which requests were at the backend server when it crashed, so that one that crashes each backend server that
 * runs it is set aside. Confined to the agent's duty.
 *
 * <p>A crash shows in two parts: first the requests at the backend server lose their answers, later the agent learns
 * that it has started anew. So lost answers are kept for a while, and a crash takes in those of the last seconds.
 */
final class CrashSuspects {
    private static final int MAX = 32;
    private static final int MAX_TOLD = 8;
    private static final long LOST_MILLIS = 5_000;
    private static final long CRASHED_MILLIS = 30_000;

    private final Incarnation self;
    private final Map<String, Long> lost = new LinkedHashMap<>();
    private final List<Told> told = new ArrayList<>();
    private int crashes;

    private record Told(CrashReport report, long until) {}

    /**
     * @param self life of the agent; with the count of its crashes it names each crash, the same to all entries
     */
    CrashSuspects(Incarnation self) {
        this.self = self;
    }

    /** Notes that a request at the backend server lost its answer. */
    void lostAnswer(String fingerprint, Moment now) {
        put(lost, fingerprint, now.plusMillis(LOST_MILLIS));
    }

    /** Notes that the backend server has crashed, with these requests and those that have just lost their answers. */
    void crashed(Collection<String> running, Moment now) {
        tick(now);
        long until = now.plusMillis(CRASHED_MILLIS);
        Set<String> suspects = new TreeSet<>(lost.keySet());
        running.stream().filter(fingerprint -> !fingerprint.isEmpty()).forEach(suspects::add);
        lost.clear();
        if (!suspects.isEmpty()) {
            crashes++;
            told.add(new Told(new CrashReport(self + "#" + crashes, now.instant(), suspects), until));
        }
    }

    private static void put(Map<String, Long> map, String fingerprint, long until) {
        if (map.size() < MAX && !fingerprint.isEmpty()) {
            map.put(fingerprint, until);
        }
    }

    /** Forgets what is old. */
    void tick(Moment now) {
        lost.values().removeIf(until -> now.nanos() - until > 0);
        told.removeIf(one -> now.nanos() - one.until() > 0);
    }

    /** What the heartbeat tells: the newest crashes, as the text of their reports. */
    List<String> crashed() {
        List<Told> newest = told.subList(Math.max(0, told.size() - MAX_TOLD), told.size());
        return newest.stream().map(one -> one.report().toString()).toList();
    }
}
