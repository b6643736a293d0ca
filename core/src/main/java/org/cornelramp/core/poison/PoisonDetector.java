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
 * Which requests are set aside because they crash the backend servers that run them.
 *
 * <p>Crash reports come from heartbeats and from the log, late, in any order and more than once; two processes
 * that have the same reports set the same requests aside. Every report is forgotten after the stated time, and with
 * it what it led to; a process that heard of a request set aside keeps its time, so that telling it round never
 * prolongs it. Owned by one thread; holds at most the stated number of reports, the newest.
 */
public final class PoisonDetector {
    /** Most requests set aside that are told in one heartbeat. */
    public static final int MAX_MARKS = 48;

    private static final Comparator<CrashReport> NEWEST_LAST =
            Comparator.comparing(CrashReport::at).thenComparing(CrashReport::crashId);

    private final Duration memory;
    private final int maxReports;
    private final Map<String, CrashReport> reports = new HashMap<>();
    private final Map<String, Instant> recordCompletion = new HashMap<>();
    private final Map<String, Instant> addMarks = new HashMap<>();
    private Blame blame = Blame.of(List.of());
    private Instant nextExpiry = Instant.MAX;

    /**
     * @param memory time after a crash at which it is forgotten
     * @param maxReports most crash reports held
     */
    public PoisonDetector(Duration memory, int maxReports) {
        this.memory = memory;
        this.maxReports = maxReports;
    }

    /** Forgets after ten minutes and holds 256 reports. */
    public static PoisonDetector standard() {
        return new PoisonDetector(Duration.ofMinutes(10), 256);
    }

    /** Takes a crash report; the same one again changes nothing. Returns whether it brought anything new. */
    public boolean recordCrash(CrashReport report, Instant now) {
        if (!report.at().plus(memory).isAfter(now)) {
            return false;
        }
        CrashReport before = reports.get(report.crashId());
        CrashReport after = before == null ? report : before.with(report);
        if (after.equals(before)) {
            return false;
        }
        reports.put(after.crashId(), after);
        if (reports.size() > maxReports) {
            reports.remove(
                    reports.values().stream().min(NEWEST_LAST).orElseThrow().crashId());
        }
        decide(now);
        return reports.containsKey(after.crashId());
    }

    /**
     * Notes that a request ran to its end: it did not cause the crashes noticed until now. Without this a request
     * that many callers send alike is in progress at most crashes, whatever their cause.
     */
    public void recordCompletion(String fingerprint, Instant now) {
        boolean known = reports.values().stream().anyMatch(r -> r.suspects().contains(fingerprint));
        if (known) {
            recordCompletion.put(fingerprint, now);
            decide(now);
        }
    }

    /** Takes the marks of a peer's {@link #marks}. A mark that cannot be read is left out. */
    public void addMarks(Collection<String> marks, Instant now) {
        for (String mark : marks) {
            SetAsideMark.parse(mark).filter(m -> m.until().isAfter(now)).ifPresent(m -> hear(m, now));
        }
    }

    /** Whether a request must not run; its caller gets the final answer at once. */
    public boolean isPoison(String fingerprint, Instant now) {
        refresh(now);
        return blame.blamed().contains(fingerprint)
                || addMarks.getOrDefault(fingerprint, Instant.MIN).isAfter(now);
    }

    /** Whether a request was in progress at a crash that is not explained yet. */
    public boolean isSuspect(String fingerprint, Instant now) {
        refresh(now);
        return blame.suspects().contains(fingerprint);
    }

    /**
     * Whether a request may start at a backend server beside those in progress there. Two suspects never run side
     * by side: if they did, the next crash would again not tell which of them caused it.
     */
    public boolean mayRunBeside(String fingerprint, Collection<String> inProgress, Instant now) {
        return !isSuspect(fingerprint, now) || inProgress.stream().noneMatch(f -> isSuspect(f, now));
    }

    /** Requests set aside, in the form that heartbeats carry, those that stay so the longest first. */
    public List<String> marks(Instant now) {
        refresh(now);
        Map<String, Instant> all = new HashMap<>(addMarks);
        blame.blamed().forEach(f -> all.merge(f, until(f), (a, b) -> a.isAfter(b) ? a : b));
        return all.entrySet().stream()
                .filter(e -> e.getValue().isAfter(now))
                .map(e -> new SetAsideMark(e.getKey(), e.getValue()))
                .sorted(Comparator.comparing(SetAsideMark::until).reversed().thenComparing(SetAsideMark::fingerprint))
                .limit(MAX_MARKS)
                .map(SetAsideMark::toString)
                .toList();
    }

    /** Crash reports since a time, in the form that heartbeats carry, for peers that do not read the log. */
    public List<String> reportsSince(Instant since) {
        return reports.values().stream()
                .filter(r -> r.at().isAfter(since))
                .sorted(NEWEST_LAST)
                .map(CrashReport::toString)
                .toList();
    }

    private void hear(SetAsideMark mark, Instant now) {
        // A peer whose clock runs ahead must not set a request aside for longer than the stated time.
        Instant latest = now.plus(memory);
        Instant until = mark.until().isBefore(latest) ? mark.until() : latest;
        addMarks.values().removeIf(t -> !t.isAfter(now));
        if (addMarks.size() < maxReports) {
            addMarks.merge(mark.fingerprint(), until, (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    private Instant until(String fingerprint) {
        return reports.values().stream()
                .filter(r -> r.suspects().contains(fingerprint))
                .map(r -> r.at().plus(memory))
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    private void refresh(Instant now) {
        if (!nextExpiry.isAfter(now)) {
            decide(now);
        }
    }

    private void decide(Instant now) {
        reports.values().removeIf(r -> !r.at().plus(memory).isAfter(now));
        addMarks.values().removeIf(t -> !t.isAfter(now));
        Set<String> known = new TreeSet<>();
        List<Set<String>> crashes = new ArrayList<>();
        for (CrashReport r : reports.values()) {
            Set<String> left = new TreeSet<>(r.suspects());
            known.addAll(left);
            left.removeIf(f -> recordCompletion.getOrDefault(f, Instant.MIN).isAfter(r.at()));
            crashes.add(left);
        }
        recordCompletion.keySet().retainAll(known);
        blame = Blame.of(crashes);
        nextExpiry = reports.values().stream()
                .map(r -> r.at().plus(memory))
                .min(Comparator.naturalOrder())
                .orElse(Instant.MAX);
    }
}
