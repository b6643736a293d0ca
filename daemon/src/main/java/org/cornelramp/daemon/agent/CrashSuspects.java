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
 * Reports which requests were at the backend server when it crashed, so that a request that crashes every backend
 * server that runs it can be set aside. Confined to the agent's event loop thread.
 *
 * <p>A crash becomes visible in two steps: first the answers of the requests at the backend server are lost, later the
 * agent detects the restart. Lost answers are therefore kept for a few seconds and included in the next crash report.
 */
final class CrashSuspects {
    private static final int MAX_LOST_ANSWERS = 32;
    private static final int MAX_REPORTS = 8;
    private static final long LOST_ANSWER_RETENTION_MILLIS = 5_000;
    private static final long REPORT_RETENTION_MILLIS = 30_000;

    private final Incarnation self;
    private final Map<String, Long> lostAnswers = new LinkedHashMap<>();
    private final List<ActiveReport> activeReports = new ArrayList<>();
    private int crashCount;

    private record ActiveReport(CrashReport report, long expiresAt) {}

    /**
     * @param self incarnation of the agent; with the number of the crash it forms a crash id that is the same at all
     *     entries
     */
    CrashSuspects(Incarnation self) {
        this.self = self;
    }

    /** Records that the answer of a request at the backend server was lost. */
    void recordLostAnswer(String fingerprint, Moment now) {
        put(lostAnswers, fingerprint, now.plusMillis(LOST_ANSWER_RETENTION_MILLIS));
    }

    /** Records a crash of the backend server with these requests and those whose answers were lost shortly before. */
    void recordCrash(Collection<String> running, Moment now) {
        tick(now);
        long until = now.plusMillis(REPORT_RETENTION_MILLIS);
        Set<String> suspects = new TreeSet<>(lostAnswers.keySet());
        running.stream().filter(fingerprint -> !fingerprint.isEmpty()).forEach(suspects::add);
        lostAnswers.clear();
        if (!suspects.isEmpty()) {
            crashCount++;
            activeReports.add(
                    new ActiveReport(new CrashReport(self + "#" + crashCount, now.instant(), suspects), until));
        }
    }

    private static void put(Map<String, Long> map, String fingerprint, long until) {
        if (map.size() < MAX_LOST_ANSWERS && !fingerprint.isEmpty()) {
            map.put(fingerprint, until);
        }
    }

    /** Removes expired lost answers and crash reports. */
    void tick(Moment now) {
        lostAnswers.values().removeIf(until -> now.nanos() - until > 0);
        activeReports.removeIf(one -> now.nanos() - one.expiresAt() > 0);
    }

    /** The reports of the newest crashes as text, for the heartbeat. */
    List<String> recentReports() {
        List<ActiveReport> newest =
                activeReports.subList(Math.max(0, activeReports.size() - MAX_REPORTS), activeReports.size());
        return newest.stream().map(one -> one.report().toString()).toList();
    }
}
