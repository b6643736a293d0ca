package org.cornelramp.core.poison;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Detects poison requests, which crash the backend servers that run them, so that they are refused.
 *
 * <p>Crash reports arrive from heartbeats and from the log, late, in any order and more than once; two processes with
 * the same reports refuse the same requests. A report expires after the retention time, and with it the refusals that
 * it caused. A refusal learnt from a peer keeps its expiry time, so that processes do not prolong it by passing it on.
 * A clearance ends the suspicion for all crashes before it. Owned by one thread; holds at most the given number of
 * reports, as many refusals of peers and {@value #MAX_CLEARANCES} clearances, and drops the oldest.
 */
public final class PoisonDetector {
    /** Most poison requests that one heartbeat carries. */
    public static final int MAX_MARKS = 48;

    private static final int MAX_CLEARANCES = 1_024;

    private static final Comparator<CrashReport> BY_TIME =
            Comparator.comparing(CrashReport::at).thenComparing(CrashReport::crashId);

    private final Duration retention;
    private final int maxReports;
    private final BlameThresholds thresholds;
    private final Map<String, CrashReport> reports = new HashMap<>();

    /** When a report was last added to, by the id of its crash. */
    private final Map<String, Instant> changeTimes = new HashMap<>();

    /** When a request was cleared of the crashes before, by its completion or by an operator. */
    private final Map<String, Instant> clearances = new LinkedHashMap<>();

    /** When a server that was reported as crashed has given a sign of life, by the id of the crash. */
    private final Map<String, Instant> signsOfLife = new LinkedHashMap<>();

    private final Map<String, Instant> peerMarks = new HashMap<>();
    private CrashAnalysis analysis;
    private SortedSet<String> suspects = Collections.emptySortedSet();
    private Instant nextExpiry = Instant.MAX;

    /**
     * @param retention retention time of a crash report, from the time of the crash
     * @param maxReports most crash reports held
     * @param thresholds from how many crashes on a request is blamed
     */
    public PoisonDetector(Duration retention, int maxReports, BlameThresholds thresholds) {
        this.retention = retention;
        this.maxReports = maxReports;
        this.thresholds = thresholds;
        this.analysis = CrashAnalysis.analyse(List.of(), thresholds);
    }

    /** Returns an instance with a retention time of ten minutes and at most 256 reports. */
    public static PoisonDetector standard(BlameThresholds thresholds) {
        return new PoisonDetector(Duration.ofMinutes(10), 256, thresholds);
    }

    /** Whether nothing is known of any crash or poison request, so that no request needs to be identified. */
    public boolean isEmpty(Instant now) {
        removeExpired(now);
        return reports.isEmpty() && peerMarks.isEmpty();
    }

    /** Whether a report of the crash with these suspects is held, or is known to be wrong. */
    public boolean isKnown(CrashReport report) {
        CrashReport known = reports.get(report.crashId());
        return isRefuted(report) || (known != null && known.suspects().containsAll(report.suspects()));
    }

    private boolean isRefuted(CrashReport report) {
        return signsOfLife.getOrDefault(report.crashId(), Instant.MIN).isAfter(report.at());
    }

    /** Adds a crash report; a repeated one changes nothing. Returns whether the report added any information. */
    public boolean recordCrash(CrashReport report, Instant now) {
        if (!report.at().plus(retention).isAfter(now) || isRefuted(report)) {
            return false;
        }
        CrashReport before = reports.get(report.crashId());
        CrashReport after = before == null ? report : before.with(report);
        if (after.equals(before)) {
            return false;
        }
        reports.put(after.crashId(), after);
        changeTimes.put(after.crashId(), now);
        if (reports.size() > maxReports) {
            reports.remove(reports.values().stream().min(BY_TIME).orElseThrow().crashId());
        }
        analyse(now);
        return reports.containsKey(after.crashId());
    }

    /**
     * Records that a server which was reported as crashed has given a sign of life, so that its crash was none. Returns
     * whether a report is dropped for it.
     */
    public boolean recordSignOfLife(String crashId, Instant at, Instant now) {
        signsOfLife.merge(crashId, at, PoisonDetector::later);
        removeOldest(signsOfLife, maxReports);
        CrashReport known = reports.get(crashId);
        boolean refuted = known != null && isRefuted(known);
        if (refuted) {
            reports.remove(crashId);
            analyse(now);
        }
        return refuted;
    }

    /**
     * Records that a request ran to completion, and therefore did not cause the crashes so far. Without this, a request
     * that many callers send identically would be a suspect of most crashes, whatever their cause.
     *
     * @return whether the request was in progress at a crash
     */
    public boolean recordCompletion(String fingerprint, Instant now) {
        boolean known = reports.values().stream().anyMatch(r -> r.suspects().contains(fingerprint));
        if (known) {
            clear(fingerprint, now, now);
        }
        return known;
    }

    /** Clears a request of all crashes before a time, and ends its refusal; returns whether that changes anything. */
    public boolean clear(String fingerprint, Instant at, Instant now) {
        Instant before = clearances.getOrDefault(fingerprint, Instant.MIN);
        if (!at.isAfter(before)) {
            return false;
        }
        clearances.remove(fingerprint);
        clearances.put(fingerprint, at);
        removeOldest(clearances, MAX_CLEARANCES);
        analyse(now);
        return true;
    }

    private boolean isCleared(String fingerprint, Instant crash) {
        return clearances.getOrDefault(fingerprint, Instant.MIN).isAfter(crash);
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static void removeOldest(Map<String, Instant> map, int maxSize) {
        while (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** Adds the {@link #marks} of a peer; marks that cannot be parsed are ignored. */
    public void addMarks(Collection<String> marks, Instant now) {
        for (String mark : marks) {
            PoisonMark.parse(mark).ifPresent(m -> addMark(m, now));
        }
    }

    /** Adds a refusal of a peer; returns whether the request was not refused before. */
    public boolean addMark(PoisonMark mark, Instant now) {
        // A peer whose clock is ahead must not extend a refusal beyond the retention time.
        Instant latest = now.plus(retention);
        Instant until = mark.until().isBefore(latest) ? mark.until() : latest;
        boolean refused = isPoison(mark.fingerprint(), now);
        if (!until.isAfter(now) || isCleared(mark.fingerprint(), until.minus(retention))) {
            return false;
        }
        peerMarks.values().removeIf(t -> !t.isAfter(now));
        if (peerMarks.size() < maxReports) {
            peerMarks.merge(mark.fingerprint(), until, PoisonDetector::later);
            nextExpiry = nextExpiry.isBefore(until) ? nextExpiry : until;
        }
        return !refused && isPoison(mark.fingerprint(), now);
    }

    /** When a request was cleared of the crashes that a refusal stands on; empty if it was not. */
    public Optional<Instant> clearance(PoisonMark mark) {
        return isCleared(mark.fingerprint(), mark.until().minus(retention))
                ? Optional.of(clearances.get(mark.fingerprint()))
                : Optional.empty();
    }

    /** Whether a request is refused as poison; its caller gets the final answer at once. */
    public boolean isPoison(String fingerprint, Instant now) {
        removeExpired(now);
        return isBlamed(fingerprint, now)
                || (peerMarks.getOrDefault(fingerprint, Instant.MIN).isAfter(now) && needsPeers(fingerprint));
    }

    private boolean isBlamed(String fingerprint, Instant now) {
        return analysis.culprits().contains(fingerprint) && isSettled(fingerprint, now);
    }

    /**
     * Whether the reports held here cannot tell that a request is to blame, so that a peer's refusal decides. Where they
     * can, a peer that knows fewer of them may refuse an innocent request.
     */
    private boolean needsPeers(String fingerprint) {
        return crashesOf(fingerprint).size() < thresholds.crashes();
    }

    /** Whether all processes have had the time to report what they know of the crashes of a request. */
    public boolean isSettled(String fingerprint, Instant now) {
        return reports.values().stream()
                .filter(r -> r.suspects().contains(fingerprint))
                .allMatch(r -> !changeTimes
                        .get(r.crashId())
                        .plus(thresholds.settling())
                        .isAfter(now));
    }

    /** Ids of the crashes at which a request was in progress. */
    public List<String> crashesOf(String fingerprint) {
        return reports.values().stream()
                .filter(r -> r.suspects().contains(fingerprint))
                .sorted(BY_TIME)
                .map(CrashReport::crashId)
                .toList();
    }

    /** Number of crashes that a request may have caused and no other poison request explains. */
    public int unexplainedCrashes(String fingerprint, Instant now) {
        removeExpired(now);
        return analysis.unexplainedCrashes(fingerprint);
    }

    /** Whether a request may turn out to be a poison request by the next crash, or by further reports of known ones. */
    public boolean isSuspect(String fingerprint, Instant now) {
        return suspects(now).contains(fingerprint);
    }

    /** The requests that may turn out to be poison requests by the next crash, or by further reports of known ones. */
    public SortedSet<String> suspects(Instant now) {
        removeExpired(now);
        return Collections.unmodifiableSortedSet(suspects);
    }

    /** Whether a crash after a time is reported. */
    public boolean isReported(String crashId, Instant since) {
        CrashReport report = reports.get(crashId);
        return report != null && report.at().isAfter(since);
    }

    /**
     * Whether a request may start on a backend server beside those in progress there. Two suspects never run on one
     * server at the same time, as another crash would again not show which of them caused it.
     */
    public boolean mayRunBeside(String fingerprint, Collection<String> inProgress, Instant now) {
        return !isSuspect(fingerprint, now) || inProgress.stream().noneMatch(f -> isSuspect(f, now));
    }

    /** Returns the poison requests in the form that heartbeats carry, those with the latest expiry first. */
    public List<String> marks(Instant now) {
        return poisonRequests(now).stream().map(PoisonMark::toString).toList();
    }

    /** Returns the poison requests, those with the latest expiry first, at most {@value #MAX_MARKS}. */
    public List<PoisonMark> poisonRequests(Instant now) {
        removeExpired(now);
        Map<String, Instant> all = new HashMap<>(peerMarks);
        all.keySet().removeIf(f -> !needsPeers(f));
        analysis.culprits().stream()
                .filter(f -> isBlamed(f, now))
                .forEach(f -> all.merge(f, expiry(f), PoisonDetector::later));
        return all.entrySet().stream()
                .filter(e -> e.getValue().isAfter(now))
                .map(e -> new PoisonMark(e.getKey(), e.getValue()))
                .sorted(Comparator.comparing(PoisonMark::until).reversed().thenComparing(PoisonMark::fingerprint))
                .limit(MAX_MARKS)
                .toList();
    }

    /** Returns the crash reports after a time in the form that heartbeats carry, for peers that do not read the log. */
    public List<String> reportsSince(Instant since) {
        return reports.values().stream()
                .filter(r -> r.at().isAfter(since))
                .sorted(BY_TIME)
                .map(CrashReport::toString)
                .toList();
    }

    private Instant expiry(String fingerprint) {
        return reports.values().stream()
                .filter(r -> r.suspects().contains(fingerprint))
                .map(r -> r.at().plus(retention))
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    private void removeExpired(Instant now) {
        if (!nextExpiry.isAfter(now)) {
            analyse(now);
        }
    }

    private void analyse(Instant now) {
        reports.values().removeIf(r -> !r.at().plus(retention).isAfter(now));
        changeTimes.keySet().retainAll(reports.keySet());
        peerMarks
                .entrySet()
                .removeIf(m -> !m.getValue().isAfter(now)
                        || isCleared(m.getKey(), m.getValue().minus(retention)));
        clearances.values().removeIf(t -> !t.plus(retention).isAfter(now));
        signsOfLife.values().removeIf(t -> !t.plus(retention).isAfter(now));
        List<Set<String>> crashes = new ArrayList<>();
        for (CrashReport r : reports.values()) {
            Set<String> suspects = new TreeSet<>(r.suspects());
            suspects.removeIf(f -> isCleared(f, r.at()));
            crashes.add(suspects);
        }
        analysis = CrashAnalysis.analyse(crashes, thresholds);
        suspects = new TreeSet<>(analysis.suspects());
        if (!thresholds.settling().isZero()) {
            suspects.addAll(analysis.culprits()); // until they are settled
        }
        nextExpiry = Stream.concat(
                        reports.values().stream().map(r -> r.at().plus(retention)), peerMarks.values().stream())
                .min(Comparator.naturalOrder())
                .orElse(Instant.MAX);
    }
}
