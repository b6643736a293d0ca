package org.cornelramp.core.poison;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Detects poison requests, which crash the backend servers that run them, so that they are refused.
 *
 * <p>Crash reports arrive from heartbeats and from the log, late, in any order and more than once; two processes with
 * the same reports refuse the same requests. A report expires after the retention time, and with it the refusals that
 * it caused. A refusal learnt from a peer keeps its expiry time, so that processes do not prolong it by passing it on.
 * Owned by one thread; holds at most the given number of reports and drops the oldest.
 */
public final class PoisonDetector {
    /** Most poison requests that one heartbeat carries. */
    public static final int MAX_MARKS = 48;

    private static final Comparator<CrashReport> BY_TIME =
            Comparator.comparing(CrashReport::at).thenComparing(CrashReport::crashId);

    private final Duration retention;
    private final int maxReports;
    private final Map<String, CrashReport> reports = new HashMap<>();
    private final Map<String, Instant> completionTimes = new HashMap<>();
    private final Map<String, Instant> peerMarks = new HashMap<>();
    private CrashAnalysis analysis = CrashAnalysis.analyse(List.of());
    private Instant nextExpiry = Instant.MAX;

    /**
     * @param retention retention time of a crash report, from the time of the crash
     * @param maxReports most crash reports held
     */
    public PoisonDetector(Duration retention, int maxReports) {
        this.retention = retention;
        this.maxReports = maxReports;
    }

    /** Returns an instance with a retention time of ten minutes and at most 256 reports. */
    public static PoisonDetector standard() {
        return new PoisonDetector(Duration.ofMinutes(10), 256);
    }

    /** Adds a crash report; a repeated one changes nothing. Returns whether the report added any information. */
    public boolean recordCrash(CrashReport report, Instant now) {
        if (!report.at().plus(retention).isAfter(now)) {
            return false;
        }
        CrashReport before = reports.get(report.crashId());
        CrashReport after = before == null ? report : before.with(report);
        if (after.equals(before)) {
            return false;
        }
        reports.put(after.crashId(), after);
        if (reports.size() > maxReports) {
            reports.remove(reports.values().stream().min(BY_TIME).orElseThrow().crashId());
        }
        analyse(now);
        return reports.containsKey(after.crashId());
    }

    /**
     * Records that a request ran to completion, and therefore did not cause the crashes so far. Without this, a request
     * that many callers send identically would be a suspect of most crashes, whatever their cause.
     */
    public void recordCompletion(String fingerprint, Instant now) {
        boolean known = reports.values().stream().anyMatch(r -> r.suspects().contains(fingerprint));
        if (known) {
            completionTimes.put(fingerprint, now);
            analyse(now);
        }
    }

    /** Adds the {@link #marks} of a peer; marks that cannot be parsed are ignored. */
    public void addMarks(Collection<String> marks, Instant now) {
        for (String mark : marks) {
            PoisonMark.parse(mark).filter(m -> m.until().isAfter(now)).ifPresent(m -> addMark(m, now));
        }
    }

    /** Whether a request is refused as poison; its caller gets the final answer at once. */
    public boolean isPoison(String fingerprint, Instant now) {
        removeExpired(now);
        return analysis.culprits().contains(fingerprint)
                || peerMarks.getOrDefault(fingerprint, Instant.MIN).isAfter(now);
    }

    /** Whether a request was in progress at a crash whose cause is not known yet. */
    public boolean isSuspect(String fingerprint, Instant now) {
        removeExpired(now);
        return analysis.suspects().contains(fingerprint);
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
        removeExpired(now);
        Map<String, Instant> all = new HashMap<>(peerMarks);
        analysis.culprits().forEach(f -> all.merge(f, expiry(f), (a, b) -> a.isAfter(b) ? a : b));
        return all.entrySet().stream()
                .filter(e -> e.getValue().isAfter(now))
                .map(e -> new PoisonMark(e.getKey(), e.getValue()))
                .sorted(Comparator.comparing(PoisonMark::until).reversed().thenComparing(PoisonMark::fingerprint))
                .limit(MAX_MARKS)
                .map(PoisonMark::toString)
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

    private void addMark(PoisonMark mark, Instant now) {
        // A peer whose clock is ahead must not extend a refusal beyond the retention time.
        Instant latest = now.plus(retention);
        Instant until = mark.until().isBefore(latest) ? mark.until() : latest;
        peerMarks.values().removeIf(t -> !t.isAfter(now));
        if (peerMarks.size() < maxReports) {
            peerMarks.merge(mark.fingerprint(), until, (a, b) -> a.isAfter(b) ? a : b);
        }
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
        peerMarks.values().removeIf(t -> !t.isAfter(now));
        Set<String> known = new TreeSet<>();
        List<Set<String>> crashes = new ArrayList<>();
        for (CrashReport r : reports.values()) {
            Set<String> suspects = new TreeSet<>(r.suspects());
            known.addAll(suspects);
            suspects.removeIf(f -> completionTimes.getOrDefault(f, Instant.MIN).isAfter(r.at()));
            crashes.add(suspects);
        }
        completionTimes.keySet().retainAll(known);
        analysis = CrashAnalysis.analyse(crashes);
        nextExpiry = reports.values().stream()
                .map(r -> r.at().plus(retention))
                .min(Comparator.naturalOrder())
                .orElse(Instant.MAX);
    }
}
